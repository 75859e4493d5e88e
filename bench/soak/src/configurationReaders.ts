import {createHash} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';

import {readConfiguration} from '@gentianshunt/platformWorker';

import type {ControlAddress} from './announcer.js';
import {digestDocument} from './configurationDocument.js';
import {createStream, drawBetween} from './draws.js';
import type {Recorder} from './recorder.js';

/** Options of the readers of the configuration. */
export interface ReaderOptions {
  readonly seed: number;
  readonly listControls: () => readonly ControlAddress[];
  readonly recorder: Recorder;
  /** Mean time between two reads at one VM. */
  readonly intervalMs: number;
  readonly signal: AbortSignal;
}

/** Reads the configuration and records what came. */
export interface ConfigurationReader {
  /** Reads once; returns whether a document came. */
  readOnce(control: ControlAddress): Promise<boolean>;
}

/** A document that was read. */
interface ReadDocument {
  readonly version: number | null;
  readonly digest: string | null;
}

/** Streams of random numbers of the readers follow this one. */
const FIRST_STREAM = 40_000;
const READ_TIMEOUT_MS = 2_000;
const UNREADABLE: ReadDocument = {version: null, digest: null};

/** Creates a reader, which parses each document that it meets once. */
export function createConfigurationReader(
  recorder: Recorder,
): ConfigurationReader {
  const known = new Map<string, ReadDocument>();
  const parse = (text: string): ReadDocument => {
    const hash = createHash('sha1').update(text).digest('hex');
    const document = known.get(hash) ?? parseDocument(text);
    known.set(hash, document);
    return document;
  };
  return {
    readOnce: async ({vm, url}) => {
      const sentAt = recorder.readTime();
      const reply = await readConfiguration(url, READ_TIMEOUT_MS);
      const status = reply?.status ?? 0;
      const isRead = reply !== undefined && status === 200;
      const document = isRead ? parse(reply.body) : UNREADABLE;
      recorder.record({
        kind: 'configurationRead',
        vm,
        sentAt,
        status,
        ...document,
      });
      return isRead;
    },
  };
}

/** Reads the configuration at the VM of every place until the signal aborts. */
export async function runReaders(
  options: ReaderOptions,
  reader: ConfigurationReader,
): Promise<void> {
  await Promise.all(
    options.listControls().map((_, place) => runReader(options, reader, place)),
  );
}

async function runReader(
  {seed, intervalMs, signal, listControls}: ReaderOptions,
  reader: ConfigurationReader,
  place: number,
): Promise<void> {
  const random = createStream(seed, FIRST_STREAM + place);
  while (!signal.aborted) {
    await delay(drawBetween(random, 0.5, 1.5) * intervalMs);
    await reader.readOnce(listControls()[place]!);
  }
}

function parseDocument(text: string): ReadDocument {
  try {
    const document = JSON.parse(text) as {readonly version: number};
    return {version: document.version, digest: digestDocument(document)};
  } catch {
    return UNREADABLE;
  }
}

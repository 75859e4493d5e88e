import {setTimeout as delay} from 'node:timers/promises';

import {sendConfiguration} from '@gentianshunt/platformWorker';

import type {ControlAddress} from './announcer.js';
import {drawContent} from './configurationContent.js';
import type {ConfigurationContent} from './configurationContent.js';
import {
  buildDocument,
  buildInvalidDocument,
  digestDocument,
  encodeDocument,
} from './configurationDocument.js';
import type {DocumentPlan, InvalidForm} from './configurationDocument.js';
import type {DocumentFiller} from './configurationLoad.js';
import type {OrderForm} from './recordedEvent.js';
import type {Recorder} from './recorder.js';
import type {VersionBook} from './versionBook.js';

/** Options of an operator. */
export interface OperatorOptions {
  readonly host: string;
  readonly key: string;
  readonly listControls: () => readonly ControlAddress[];
  readonly filler: DocumentFiller;
  readonly versions: VersionBook;
  readonly recorder: Recorder;
  /** Aborts when no change is sent again. */
  readonly signal: AbortSignal;
}

/** A document as it is sent. */
interface EncodedOrder {
  readonly form: OrderForm;
  readonly version: number;
  readonly content: ConfigurationContent;
  readonly digest: string | null;
  readonly routes: number;
  readonly body: Buffer;
}

const FIRST_PAUSE_MS = 50;
const MAX_PAUSE_MS = 800;
const ANSWER_TIMEOUT_MS = 1_000;
/** Further time for each kilobyte of a document. */
const ANSWER_TIMEOUT_MS_PER_KILOBYTE = 4;
const BYTES_PER_KILOBYTE = 1_000;
/** Statuses after which the same order is sent to another VM. */
const RETRIED_STATUSES: readonly number[] = [0, 408, 429];

/** Sends a version, also again, until a VM acknowledges or refuses it. */
export async function sendVersion(
  options: OperatorOptions,
  version: number,
): Promise<void> {
  const order = encodeOrder(options, version, 'change', drawContent(version));
  let pauseMs = FIRST_PAUSE_MS;
  for (let turn = version; !options.signal.aborted; turn += 1) {
    const status = await sendOrder(options, order, turn);
    if (status === 200) {
      options.versions.recordAcknowledged(version);
      return;
    }
    if (status < 500 && !RETRIED_STATUSES.includes(status)) {
      return;
    }
    await delay(pauseMs);
    pauseMs = Math.min(pauseMs * 2, MAX_PAUSE_MS);
  }
}

/** Sends a version that was acknowledged once more. */
export async function resendVersion(
  options: OperatorOptions,
  version: number,
  turn: number,
): Promise<void> {
  const order = encodeOrder(options, version, 'repeat', drawContent(version));
  await sendOrder(options, order, turn);
}

/** Sends the content of another version under one that was acknowledged. */
export async function sendOtherContent(
  options: OperatorOptions,
  version: number,
  turn: number,
): Promise<void> {
  const content = {...drawContent(version + 1), hasRefusedRoute: true};
  const order = encodeOrder(options, version, 'otherContent', content);
  await sendOrder(options, order, turn);
}

/** Sends a document that must be refused. */
export async function sendInvalid(
  options: OperatorOptions,
  version: number,
  invalidForm: InvalidForm,
  turn: number,
): Promise<void> {
  const content = {...drawContent(version), hasRefusedRoute: true};
  const plan = createPlan(options, version, content);
  const order: EncodedOrder = {
    form: 'invalid',
    version,
    content,
    digest: null,
    routes: 0,
    body: buildInvalidDocument(plan, invalidForm),
  };
  await sendOrder(options, order, turn);
}

function createPlan(
  {host, key, filler}: OperatorOptions,
  version: number,
  content: ConfigurationContent,
): DocumentPlan {
  return {version, host, key, content, filler};
}

function encodeOrder(
  options: OperatorOptions,
  version: number,
  form: OrderForm,
  content: ConfigurationContent,
): EncodedOrder {
  const document = buildDocument(createPlan(options, version, content));
  return {
    form,
    version,
    content,
    digest: digestDocument(document),
    routes: document.routes.length,
    body: encodeDocument(document),
  };
}

/** Sends a document once; returns the status, or 0 for no answer. */
async function sendOrder(
  {listControls, recorder}: OperatorOptions,
  {body, ...order}: EncodedOrder,
  turn: number,
): Promise<number> {
  const controls = listControls();
  const {vm, url} = controls[turn % controls.length]!;
  const {form, version} = order;
  const timeoutMs =
    ANSWER_TIMEOUT_MS +
    (body.length / BYTES_PER_KILOBYTE) * ANSWER_TIMEOUT_MS_PER_KILOBYTE;
  recorder.record({kind: 'orderSent', vm, ...order});
  const status = (await sendConfiguration(url, body, timeoutMs))?.status ?? 0;
  if (status === 200) {
    recorder.record({kind: 'orderAcknowledged', form, version, vm});
  } else if (status >= 400 && status < 500) {
    recorder.record({kind: 'orderRefused', form, version, vm, status});
  }
  return status;
}

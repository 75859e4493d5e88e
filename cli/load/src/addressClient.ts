import {SchedulerError} from '@gentianshunt/errors';
import {readBoundedJson} from '@gentianshunt/runtime';
import {request} from 'undici';

/** No entry returned addresses. */
export class NoAddressError extends SchedulerError {
  constructor(entries: readonly string[], cause: unknown) {
    super({
      code: 'ERR_NO_ADDRESS',
      message: 'no entry answered the address lookup',
      origin: {step: 'requestAddresses', peer: entries.join(',')},
      hint: 'check that an entry is ready',
      cause,
    });
  }
}

export interface AddressClientOptions {
  /** Base URLs of entries that may be queried. */
  readonly entries: readonly string[];
  readonly organisation: string;
  readonly set: string;
  /** Reads a monotonic clock, in milliseconds. */
  readonly readTime: () => number;
}

/** Caches the entry addresses for an organisation and endpoint set. */
export interface AddressClient {
  /** Returns the addresses; queries an entry if they have expired. */
  readAddresses(): Promise<readonly string[]>;
  /** Drops the cached addresses, after one of them did not answer. */
  forgetAddresses(): void;
}

interface AddressReply {
  readonly lifetimeMs: number;
  readonly addresses: readonly {readonly url: string}[];
}

const LOOKUP_TIMEOUT_MS = 2_000;
/** Largest answer to an address lookup. */
const MAX_LOOKUP_BYTES = 1024 * 1024;

/** Creates a client that queries the entries in turn. */
export function createAddressClient(
  options: AddressClientOptions,
): AddressClient {
  let cachedReply: Promise<AddressReply> | undefined;
  let validUntil = Number.NEGATIVE_INFINITY;
  return {
    readAddresses: async () => {
      if (cachedReply === undefined || options.readTime() >= validUntil) {
        validUntil = Number.POSITIVE_INFINITY;
        cachedReply = requestAddresses(options);
        cachedReply.then(
          reply => {
            validUntil = options.readTime() + reply.lifetimeMs;
          },
          () => {
            cachedReply = undefined;
          },
        );
      }
      return (await cachedReply).addresses.map(address => address.url);
    },
    forgetAddresses: () => {
      cachedReply = undefined;
    },
  };
}

async function requestAddresses(
  options: AddressClientOptions,
): Promise<AddressReply> {
  const {entries, organisation, set} = options;
  const query = new URLSearchParams({
    organisation,
    set,
    affinity: `${organisation}/${set}`,
  });
  let failure: unknown;
  for (const entry of entries) {
    try {
      const reply = await request(`${entry}/v1/addresses?${query}`, {
        signal: AbortSignal.timeout(LOOKUP_TIMEOUT_MS),
      });
      const body = (await readBoundedJson(reply.body, {
        step: 'requestAddresses',
        peer: entry,
        maxBytes: MAX_LOOKUP_BYTES,
      })) as AddressReply;
      if (body.addresses.length > 0) {
        return body;
      }
    } catch (error) {
      failure = error;
    }
  }
  throw new NoAddressError(entries, failure);
}

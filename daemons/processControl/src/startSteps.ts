/** Steps of a start that are tried again while they may still succeed. */
import {setTimeout as wait} from 'node:timers/promises';

import {assertNever} from '@gentianshunt/errors';

import {StartStepError, toError} from './endCause.js';
import type {EndCause} from './endCause.js';
import {decideRetry} from './retry.js';
import type {RetryLimits} from './retry.js';
import type {StartContext} from './runProcess.js';

/**
 * How long an address is awaited that another process holds, such as the
 * predecessor that still drains.
 */
export const ADDRESS_RETRY_LIMITS: RetryLimits = {
  limitMs: 10_000,
  intervalMs: 250,
};
/** How long a settings file is awaited that may be half written. */
export const SETTINGS_RETRY_LIMITS: RetryLimits = {
  limitMs: 3_000,
  intervalMs: 200,
};

const UNAVAILABLE_ADDRESS_CODES: ReadonlySet<string> = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
]);

/** The parts of a start that the steps use. */
export type StepContext = Pick<StartContext, 'cancelled' | 'write'>;

interface RetriedStep<Result> {
  readonly step: string;
  /** The address or file that the step uses. */
  readonly peer: string;
  readonly limits: RetryLimits;
  readonly attempt: () => Promise<Result> | Result;
  readonly isTemporary: (error: Error) => boolean;
  readonly toEndCause: (error: Error) => EndCause;
}

/** Opens a listener, again and again while its address is held. */
export function listenWithRetry<Result>(
  context: StepContext,
  address: {readonly host: string; readonly port: number},
  listen: () => Promise<Result>,
): Promise<Result> {
  return retryStep(context, {
    step: 'listen',
    peer: `${address.host}:${address.port}`,
    limits: ADDRESS_RETRY_LIMITS,
    attempt: listen,
    isTemporary: isAddressError,
    toEndCause: error =>
      isAddressError(error)
        ? {kind: 'addressUnavailable', error}
        : {kind: 'startFailed', error},
  });
}

/** Reads settings, again while the file may still be being written. */
export function readSettingsWithRetry<Settings>(
  context: StepContext,
  file: string,
  read: () => Settings,
): Promise<Settings> {
  return retryStep(context, {
    step: 'readSettings',
    peer: file,
    limits: SETTINGS_RETRY_LIMITS,
    attempt: read,
    isTemporary: () => true,
    toEndCause: error => ({kind: 'settingsInvalid', error}),
  });
}

/** Runs a step that uses the disk; its failure ends the process as such. */
export async function openStorage<Result>(
  open: () => Promise<Result>,
): Promise<Result> {
  try {
    return await open();
  } catch (thrown) {
    const error = toError(thrown);
    throw new StartStepError({kind: 'storageFailed', error});
  }
}

function isAddressError(error: Error): boolean {
  const {code} = error as NodeJS.ErrnoException;
  return code !== undefined && UNAVAILABLE_ADDRESS_CODES.has(code);
}

async function retryStep<Result>(
  {cancelled, write}: StepContext,
  {step, peer, limits, attempt, isTemporary, toEndCause}: RetriedStep<Result>,
): Promise<Result> {
  const startedAt = performance.now();
  for (;;) {
    cancelled.throwIfAborted();
    try {
      return await attempt();
    } catch (thrown) {
      const error = toError(thrown);
      const waitedMs = performance.now() - startedAt;
      const decision = decideRetry(
        {isTemporary: isTemporary(error), waitedMs},
        limits,
      );
      switch (decision.kind) {
        case 'retry':
          write({kind: 'startRetried', step, peer, waitedMs, error});
          await wait(decision.delayMs, undefined, {signal: cancelled});
          break;
        case 'giveUp':
          throw new StartStepError(toEndCause(error));
        default:
          assertNever(decision, 'retryStep');
      }
    }
  }
}

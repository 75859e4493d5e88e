import {setTimeout as delay} from 'node:timers/promises';

import {assertNever} from '@gentianshunt/errors';

import type {ProxiedLink} from './proxiedLink.js';
import type {LinkFaultKind} from './recordedEvent.js';

/** A fault of the links between two VMs. */
export interface LinkFault {
  readonly from: string;
  readonly to: string;
  readonly kind: LinkFaultKind;
}

/** The two directions of a proxied connection. */
export type LinkDirection = 'toTarget' | 'toDialler';

/** The faults in force, and the connections that they affect. */
export interface LinkFaults {
  addLink(link: ProxiedLink): void;
  removeLink(link: ProxiedLink): void;
  addFault(fault: LinkFault): void;
  removeFault(fault: LinkFault): void;
  /** Reads the latency of a connection, in ms; 0 without a fault. */
  readLatency(link: ProxiedLink): number;
  /** Resolves when a chunk may pass. */
  waitToPass(
    link: ProxiedLink,
    direction: LinkDirection,
    bytes: number,
  ): Promise<void>;
}

const DELAY_MS = 400;
const LATENCY_MS = 400;
const NARROW_BYTES_PER_SECOND = 20_000;
const MS_PER_SECOND = 1_000;
const POLL_MS = 20;

/** Creates the faults, none of them in force. */
export function createLinkFaults(): LinkFaults {
  const links = new Set<ProxiedLink>();
  const faults = new Set<LinkFault>();
  const findBetween = (a: string, b: string): readonly ProxiedLink[] =>
    [...links].filter(
      ({dialler, target}) =>
        (dialler === a && target === b) || (dialler === b && target === a),
    );
  return {
    addLink: link => links.add(link),
    removeLink: link => links.delete(link),
    addFault: fault => {
      faults.add(fault);
      const affected = findBetween(fault.from, fault.to);
      if (fault.kind === 'reset') {
        affected.forEach(link => link.reset());
      } else if (fault.kind === 'stale') {
        affected.forEach(link => {
          link.isStale = true;
        });
      }
    },
    removeFault: fault => faults.delete(fault),
    readLatency: link =>
      [...faults].some(fault => fault.kind === 'late' && isBetween(fault, link))
        ? LATENCY_MS
        : 0,
    waitToPass: async (link, direction, bytes) => {
      const delayMs = computeDelay(faults, link, direction, bytes);
      if (delayMs > 0) {
        await delay(delayMs);
      }
      while (isSilent(faults, link, direction) && links.has(link)) {
        await delay(POLL_MS);
      }
    },
  };
}

function computeDelay(
  faults: ReadonlySet<LinkFault>,
  link: ProxiedLink,
  direction: LinkDirection,
  bytes: number,
): number {
  const delays = [...faults]
    .filter(fault => isBetween(fault, link))
    .map(({kind}) => {
      switch (kind) {
        case 'delayed':
          return DELAY_MS;
        case 'narrow':
          return (bytes / NARROW_BYTES_PER_SECOND) * MS_PER_SECOND;
        case 'late':
        case 'reset':
        case 'silentOneWay':
        case 'cut':
        case 'stale':
          return 0;
        default:
          return assertNever(kind, `computeDelay ${direction}`);
      }
    });
  return Math.max(0, ...delays);
}

function isSilent(
  faults: ReadonlySet<LinkFault>,
  link: ProxiedLink,
  direction: LinkDirection,
): boolean {
  const sender = direction === 'toTarget' ? link.dialler : link.target;
  return (
    link.isStale ||
    [...faults].some(
      fault =>
        isBetween(fault, link) &&
        (fault.kind === 'cut' ||
          (fault.kind === 'silentOneWay' && fault.from === sender)),
    )
  );
}

function isBetween(
  {from, to}: LinkFault,
  {dialler, target}: ProxiedLink,
): boolean {
  return (
    (dialler === from && target === to) || (dialler === to && target === from)
  );
}

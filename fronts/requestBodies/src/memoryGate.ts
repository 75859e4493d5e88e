import type {Clock, Milliseconds} from '@gentianshunt/clock';
import {assertNever} from '@gentianshunt/errors';
import {
  addHeldBytes,
  admitClaim,
  createAccount,
  dropClaim,
  expireClaims,
  isFull,
  releaseBytes,
  takeFreeBytes,
} from '@gentianshunt/memoryAccount';
import type {
  AccountChange,
  ClaimDecision,
  ClaimKind,
} from '@gentianshunt/memoryAccount';

/** How a claim waits if memory is short. */
export interface WaitTerms {
  /** Rank of the tier; rank 1 is served first. */
  readonly rank: number;
  readonly maxWaitMs: Milliseconds;
}

/** A claim on memory for bytes that are not read yet. */
export interface GateRequest {
  readonly kind: ClaimKind;
  readonly bytes: number;
  /** Bytes that the same body holds already. */
  readonly ownBytes: number;
  /** Called only if the claim has to wait. */
  readonly readTerms: () => WaitTerms;
  /** Called at once if memory is free, otherwise later. */
  readonly onDecided: (kind: ClaimDecision['kind']) => void;
}

/** Bytes that are counted until they are released. */
export interface HeldBytes {
  /** Gives the memory back or drops the claim; further calls do nothing. */
  release(): void;
}

/** Memory that was reserved, or a claim that waits for it. */
export interface Reservation extends HeldBytes {
  /** Gives back what exceeds a number of bytes. */
  shrink(bytes: number): void;
}

/** Reserves memory for what is read from sockets. */
export interface MemoryGate {
  request(claim: GateRequest): Reservation;
  /** Counts bytes that are held already, until they are released. */
  addHeld(bytes: number): HeldBytes;
  isFull(): boolean;
  readonly reservedBytes: number;
  /** The part of them that was held without being reserved before. */
  readonly heldBytes: number;
  readonly waitingClaims: number;
}

interface WaitingClaim {
  readonly timer: NodeJS.Timeout;
  readonly decide: (kind: ClaimDecision['kind']) => void;
}

/** Creates a gate that executes the decisions of one memory account. */
export function createMemoryGate(
  budgetBytes: number,
  clock: Clock,
): MemoryGate {
  let account = createAccount(budgetBytes);
  let heldBytes = 0;
  let lastId = 0;
  const waiting = new Map<number, WaitingClaim>();
  const apply = ({state, decisions}: AccountChange): void => {
    account = state;
    decisions.forEach(({kind, claim}) => {
      const decided = waiting.get(claim);
      waiting.delete(claim);
      clearTimeout(decided?.timer);
      decided?.decide(kind);
    });
  };
  const createReservation = (bytes: number): Reservation => {
    let keptBytes = bytes;
    const shrink = (wantedBytes: number): void => {
      const freedBytes = Math.max(0, keptBytes - wantedBytes);
      keptBytes -= freedBytes;
      if (freedBytes > 0) {
        apply(releaseBytes(account, freedBytes));
      }
    };
    return {release: () => shrink(0), shrink};
  };
  const awaitMemory = (claim: GateRequest): Reservation => {
    const {kind, bytes, ownBytes} = claim;
    const {rank, maxWaitMs} = claim.readTerms();
    lastId += 1;
    const id = lastId;
    let reservation: Reservation = {
      release: () => {
        clearTimeout(waiting.get(id)?.timer);
        waiting.delete(id);
        apply(dropClaim(account, id));
      },
      shrink: () => undefined,
    };
    const refuseAt = clock.readMonotonic() + maxWaitMs;
    waiting.set(id, {
      timer: setTimeout(
        () => apply(expireClaims(account, refuseAt)),
        maxWaitMs,
      ),
      decide: decision => {
        reservation = createDecided(decision, bytes, createReservation);
        claim.onDecided(decision);
      },
    });
    apply(admitClaim(account, {id, kind, bytes, ownBytes, rank, refuseAt}));
    return {
      release: () => reservation.release(),
      shrink: wantedBytes => reservation.shrink(wantedBytes),
    };
  };
  return {
    request: claim => {
      const taken = takeFreeBytes(account, claim);
      if (taken === undefined) {
        return awaitMemory(claim);
      }
      account = taken;
      const reservation = createReservation(claim.bytes);
      claim.onDecided('granted');
      return reservation;
    },
    addHeld: bytes => {
      account = addHeldBytes(account, bytes);
      heldBytes += bytes;
      const reservation = createReservation(bytes);
      let isHeld = true;
      return {
        release: () => {
          heldBytes -= isHeld ? bytes : 0;
          isHeld = false;
          reservation.release();
        },
      };
    },
    isFull: () => isFull(account),
    get reservedBytes() {
      return account.reservedBytes;
    },
    get heldBytes() {
      return heldBytes;
    },
    get waitingClaims() {
      return account.waiting.length;
    },
  };
}

const NOTHING: Reservation = {
  release: () => undefined,
  shrink: () => undefined,
};

function createDecided(
  kind: ClaimDecision['kind'],
  bytes: number,
  createReservation: (bytes: number) => Reservation,
): Reservation {
  switch (kind) {
    case 'granted':
      return createReservation(bytes);
    case 'refused':
      return NOTHING;
    default:
      return assertNever(kind, 'createDecided');
  }
}

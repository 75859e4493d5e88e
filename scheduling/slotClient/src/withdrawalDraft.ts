/** Collects what one run of the withdrawal controller learns of leaves. */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {hashLeave, isLaterLeave} from '@gentianshunt/entryModel';
import type {
  LeaveCatchUp,
  LeaveExchange,
  LeaveLog,
  LeaveRecord,
} from '@gentianshunt/entryModel';
import type {EndpointId} from '@gentianshunt/identifiers';

import {createLeaveAnswer} from './withdrawalView.js';
import type {WithdrawalView, WithdrawalWrite} from './withdrawalView.js';

/**
 * How long an entry remembers that an endpoint left. Announcements sent before
 * it left may arrive until then, also at an entry that has no record of it.
 */
export const WITHDRAWAL_MS: Milliseconds = 120_000;

/** A record as it is learnt. */
export type LearntLeave = Omit<LeaveRecord, 'version' | 'until'> & {
  readonly endpoint: EndpointId;
  /** How long it is remembered. */
  readonly remainingMs?: Milliseconds;
};

/** The records of an entry on top of those on the board. */
export interface WithdrawalDraft {
  find(endpoint: EndpointId): LeaveRecord | undefined;
  readLog(): LeaveLog;
  readExchange(): LeaveExchange;
  /** Records what is news; returns whether it was. */
  learn(leave: LearntLeave): boolean;
  /** Drops a record that is not needed any more. */
  drop(endpoint: EndpointId): void;
  /** Ends the wait for a confirmation, if any, and answers the endpoint. */
  settleLeave(endpoint: EndpointId, isConfirmed: boolean): void;
  putExchange(exchange: LeaveExchange): void;
  readCatchUp(): LeaveCatchUp;
  setCatchUp(state: LeaveCatchUp): void;
  add(...writes: readonly WithdrawalWrite[]): void;
  listWrites(): readonly WithdrawalWrite[];
}

/** Creates a draft over a view of the board. */
export function createWithdrawalDraft(
  {board}: WithdrawalView,
  now: TurnTime,
): WithdrawalDraft {
  const writes: WithdrawalWrite[] = [];
  const records = new Map<EndpointId, LeaveRecord | undefined>();
  let log = board.leaveLog;
  let exchange = board.leaveExchange;
  let catchUp: LeaveCatchUp | undefined;
  const find = (endpoint: EndpointId): LeaveRecord | undefined =>
    records.has(endpoint)
      ? records.get(endpoint)
      : board.leaveRecords.get(endpoint);
  const put = (key: EndpointId, value: LeaveRecord): void => {
    const known = find(key);
    const before = known === undefined ? 0 : hashLeave(key, known);
    const digest = log.digest ^ before ^ hashLeave(key, value);
    log = {version: value.version, digest};
    records.set(key, value);
    writes.push(
      {kind: 'put', section: 'leaveRecords', key, value},
      createWithdrawalWrite(key, value),
    );
  };
  const settleLeave = (key: EndpointId, isConfirmed: boolean): void => {
    if (board.unconfirmedLeaves.has(key)) {
      writes.push(
        {kind: 'delete', section: 'unconfirmedLeaves', key},
        createLeaveAnswer(key, isConfirmed),
      );
    }
  };
  return {
    find,
    settleLeave,
    readLog: () => log,
    readExchange: () => exchange,
    learn: ({endpoint, remainingMs = WITHDRAWAL_MS, ...leave}) => {
      const until = now.monotonic + Math.min(remainingMs, WITHDRAWAL_MS);
      const record = {...leave, until, version: log.version + 1};
      const known = find(endpoint);
      const isNews = known === undefined || isLaterLeave(record, known);
      if (isNews && remainingMs > 0) {
        put(endpoint, record);
        if (record.state === 'returned') {
          settleLeave(endpoint, true);
        }
      }
      return isNews;
    },
    drop: key => {
      const known = find(key);
      if (known !== undefined) {
        log = {...log, digest: log.digest ^ hashLeave(key, known)};
        records.set(key, undefined);
        writes.push(
          {kind: 'delete', section: 'leaveRecords', key},
          {kind: 'delete', section: 'withdrawnEndpoints', key},
        );
        settleLeave(key, false);
      }
    },
    putExchange: value => {
      exchange = value;
    },
    readCatchUp: () => catchUp ?? board.leaveCatchUp,
    setCatchUp: value => {
      catchUp = value;
    },
    add: (...added) => {
      writes.push(...added);
    },
    listWrites: () => [
      ...writes,
      ...(log === board.leaveLog
        ? []
        : [{kind: 'set', section: 'leaveLog', value: log} as const]),
      ...(exchange === board.leaveExchange
        ? []
        : [{kind: 'set', section: 'leaveExchange', value: exchange} as const]),
      ...(catchUp === undefined
        ? []
        : [{kind: 'set', section: 'leaveCatchUp', value: catchUp} as const]),
    ],
  };
}

/** Withdraws an endpoint that left, or lifts the withdrawal. */
function createWithdrawalWrite(
  key: EndpointId,
  {state, incarnation: left, source, learntFrom, until}: LeaveRecord,
): WithdrawalWrite {
  return state === 'left'
    ? {
        kind: 'put',
        section: 'withdrawnEndpoints',
        key,
        value: {left, source, learntFrom, until},
      }
    : {kind: 'delete', section: 'withdrawnEndpoints', key};
}

import t from 'tap';

import {CHECKS} from '../src/index.js';
import type {CheckName, RecordedEvent} from '../src/index.js';
import {createHistory} from './historyFixture.js';

/** A record and what a checker finds in it. */
export interface CheckCase {
  readonly name: string;
  readonly events: readonly RecordedEvent[];
  readonly violations: number;
  readonly excused: number;
}

/** Tests that a checker finds what each case expects. */
export function checkCases(
  check: CheckName,
  cases: readonly CheckCase[],
): void {
  t.test(check, async t => {
    for (const {name, events, violations, excused} of cases) {
      const findings = CHECKS[check](createHistory(...events));
      const found = {
        violations: findings.filter(({excuse}) => excuse === null).length,
        excused: findings.filter(({excuse}) => excuse !== null).length,
      };
      t.match(found, {violations, excused}, name);
      t.ok(
        findings.every(finding => finding.check === check),
        `${name}: the findings name the checker`,
      );
    }
  });
}

/** Repeats events with the attempts r-0, r-1 and so on. */
export function repeat(
  count: number,
  create: (attempt: string) => readonly RecordedEvent[],
): readonly RecordedEvent[] {
  return Array.from({length: count}, (_, index) => create(`r-${index}`)).flat();
}

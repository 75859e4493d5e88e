/** Counters of the heartbeats of an entry. */
import {Counter} from 'prom-client';
import type {Registry} from 'prom-client';

import type {ScrapedEntry} from './configurationGauges.js';

/** Adds the counters of an entry's heartbeats and their answers. */
export function addHeartbeatCounters(
  registry: Registry,
  {view}: Pick<ScrapedEntry, 'view'>,
): void {
  const answers: Counter = new Counter({
    name: 'gentianshunt_heartbeats_total',
    help: 'Heartbeats of this entry to control daemons, by what came back.',
    labelNames: ['answer'],
    registers: [registry],
    collect: () => {
      answers.reset();
      Object.entries(view.heartbeatTotals.byAnswer).forEach(([answer, count]) =>
        answers.inc({answer}, count),
      );
    },
  });
  const late: Counter = new Counter({
    name: 'gentianshunt_late_heartbeat_answers_total',
    help: 'Answers to heartbeats that came late, of any kind.',
    registers: [registry],
    collect: () => {
      late.reset();
      late.inc(view.heartbeatTotals.late);
    },
  });
}

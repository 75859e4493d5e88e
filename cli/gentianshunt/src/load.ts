import {
  createLoadPlan,
  createSummaries,
  formatSummaries,
  runLoad,
} from '@gentianshunt/load';
import type {LoadPlanOptions} from '@gentianshunt/load';
import {defineCommand} from 'citty';

import {runChecked} from './exitCodes.js';
import {createProgress} from './progress.js';

const DEFAULT_SEED = '1';

/** Sends a load of chat requests to a deployment. */
export const loadCommand = defineCommand({
  meta: {
    name: 'load',
    description: 'Send a load of chat requests to a deployment.',
  },
  args: {
    entry: {
      type: 'string',
      required: true,
      description: 'Base URLs of entries, separated by commas',
    },
    set: {type: 'string', required: true, description: 'Endpoint set'},
    organisation: {
      type: 'string',
      required: true,
      description: 'Organisations, separated by commas',
    },
    tier: {
      type: 'string',
      required: true,
      description: 'Tiers, separated by commas',
    },
    kind: {type: 'string', required: true, description: 'Request kind'},
    requests: {
      type: 'string',
      default: '100',
      description: 'Number of requests',
    },
    seconds: {
      type: 'string',
      default: '10',
      description: 'Duration in seconds',
    },
    cancel: {
      type: 'string',
      default: '60',
      description: 'Percentage of callers that disconnect early',
    },
    seed: {type: 'string', default: DEFAULT_SEED, description: 'Random seed'},
    json: {type: 'boolean', description: 'Print the summary as JSON'},
  },
  run: ({args}) =>
    runChecked(async () => {
      const options = readPlanOptions(args);
      const plan = createLoadPlan(options);
      const progress = createProgress({total: plan.length, label: 'requests'});
      const results = await runLoad({
        entries: args.entry.split(','),
        plan,
        onEnded: () => progress.advance(),
      });
      progress.finish();
      const summaries = createSummaries(options.tiers, results);
      console.log(
        args.json === true
          ? JSON.stringify(summaries)
          : formatSummaries(summaries),
      );
    }),
});

interface LoadArgs {
  readonly set: string;
  readonly organisation: string;
  readonly tier: string;
  readonly kind: string;
  readonly requests: string;
  readonly seconds: string;
  readonly cancel: string;
  readonly seed: string;
}

function readPlanOptions(args: LoadArgs): LoadPlanOptions {
  return {
    requests: Number(args.requests),
    durationMs: Number(args.seconds) * 1_000,
    seed: Number(args.seed),
    tiers: args.tier.split(','),
    organisations: args.organisation.split(','),
    runName: `load-${args.seed}`,
    classes: [
      {
        requestKind: args.kind,
        weight: 1,
        frequency: 1,
        target: {
          kind: 'chat',
          set: args.set,
          promptTokens: {from: 10, to: 1_000},
          maxTokens: {from: 5, to: 100},
        },
        cancelPercent: Number(args.cancel),
        patienceMs: {from: 10, to: 1_000},
      },
    ],
  };
}

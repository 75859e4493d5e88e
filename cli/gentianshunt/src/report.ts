import {writeFileSync} from 'node:fs';

import {
  createBurnReport,
  formatBurnHtml,
  formatBurnText,
} from '@gentianshunt/burn';
import {readBurnInput} from '@gentianshunt/operatorClient';
import {defineCommand} from 'citty';

import {runChecked} from './exitCodes.js';
import {ACCESS_ARGS, readEntryAccess} from './operatorArgs.js';

const burnCommand = defineCommand({
  meta: {
    name: 'burn',
    description:
      'Report how fast tiers and organisations use up the error budget of their objectives.',
  },
  args: {
    ...ACCESS_ARGS,
    html: {type: 'string', description: 'Also write an HTML page to this file'},
  },
  run: ({args}) =>
    runChecked(async () => {
      const input = await readBurnInput(readEntryAccess(args));
      const report = createBurnReport({...input, now: new Date()});
      if (args.html !== undefined) {
        writeFileSync(args.html, formatBurnHtml(report));
      }
      console.log(
        args.json === true ? JSON.stringify(report) : formatBurnText(report),
      );
    }),
});

/** The subcommands that report on a deployment. */
export const reportCommand = defineCommand({
  meta: {name: 'report', description: 'Report on a deployment.'},
  subCommands: {burn: burnCommand},
});

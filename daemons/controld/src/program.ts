/** The start of the program, up to the running daemon. */
import {createLogger} from '@gentianshunt/logging';
import {readSettingsWithRetry} from '@gentianshunt/processControl';
import type {RunningDaemon, StartContext} from '@gentianshunt/processControl';
import {readControldSettings} from '@gentianshunt/settings';
import {defineCommand, runMain} from 'citty';

import {createControld} from './controld.js';

/** Reads the command line and the settings, and starts the daemon. */
export function startProgram(context: StartContext): Promise<RunningDaemon> {
  return new Promise((resolve, reject) => {
    const command = defineCommand({
      meta: {
        name: 'controld',
        description: 'Runs a member of the replicated control log.',
      },
      args: {
        settings: {
          type: 'string',
          required: true,
          description: 'Settings file (TOML)',
        },
      },
      run: ({args}) => {
        startDaemon(args.settings, context).then(resolve, reject);
      },
    });
    void runMain(command);
  });
}

async function startDaemon(
  file: string,
  context: StartContext,
): Promise<RunningDaemon> {
  const unnamedLogger = createLogger({node: 'controld'});
  context.useLogger(unnamedLogger);
  const settings = await readSettingsWithRetry(context, file, () =>
    readControldSettings({file}),
  );
  const logger = unnamedLogger.withNode(settings.node);
  context.useLogger(logger);
  const daemon = await createControld({settings, logger, context});
  console.log(JSON.stringify({ready: true}));
  return daemon;
}

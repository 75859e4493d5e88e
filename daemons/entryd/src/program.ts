/** The start of the program, up to the running daemon. */
import {createLogger} from '@gentianshunt/logging';
import {readSettingsWithRetry} from '@gentianshunt/processControl';
import type {RunningDaemon, StartContext} from '@gentianshunt/processControl';
import {readEntrydSettings} from '@gentianshunt/settings';
import {defineCommand, runMain} from 'citty';

import {createEntryd} from './entryd.js';

/** Reads the command line and the settings, and starts the daemon. */
export function startProgram(context: StartContext): Promise<RunningDaemon> {
  return new Promise((resolve, reject) => {
    const command = defineCommand({
      meta: {
        name: 'entryd',
        description:
          "Receives callers' requests and dispatches them to endpoints.",
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
  const unnamedLogger = createLogger({node: 'entryd'});
  context.useLogger(unnamedLogger);
  const settings = await readSettingsWithRetry(context, file, () =>
    readEntrydSettings({file}),
  );
  const logger = unnamedLogger.withNode(settings.node);
  context.useLogger(logger);
  const daemon = await createEntryd({settings, logger, context});
  console.log(JSON.stringify({ready: true, httpPort: settings.http.port}));
  return daemon;
}

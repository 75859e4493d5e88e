#!/usr/bin/env node
import {formatError} from '@gentianshunt/errors';
import {readControldSettings} from '@gentianshunt/settings';
import {defineCommand, runMain} from 'citty';

import {createControld} from './controld.js';

const SETTINGS_ERROR_EXIT_CODE = 2;
const DISK_ERROR_EXIT_CODE = 3;

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
  run: async ({args}) => {
    try {
      const settings = readControldSettings({file: args.settings});
      const daemon = await createControld({
        settings,
        onFailed: error => {
          console.error(formatError(error));
          process.exit(DISK_ERROR_EXIT_CODE);
        },
      });
      const stop = (): void => {
        void daemon.close().then(() => process.exit(0));
      };
      process.on('SIGTERM', stop);
      process.on('SIGINT', stop);
      console.log(JSON.stringify({ready: true}));
    } catch (error) {
      console.error(formatError(error));
      process.exit(SETTINGS_ERROR_EXIT_CODE);
    }
  },
});

await runMain(command);

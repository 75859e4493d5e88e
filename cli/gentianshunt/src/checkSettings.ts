import {readControldSettings, readEntrydSettings} from '@gentianshunt/settings';
import {defineCommand} from 'citty';

import {runChecked} from './exitCodes.js';

/** Checks the settings file of a daemon without starting the daemon. */
export const checkSettingsCommand = defineCommand({
  meta: {
    name: 'check-settings',
    description: 'Check a settings file; exit code 2 if it is invalid.',
  },
  args: {
    file: {type: 'positional', required: true, description: 'TOML file'},
    daemon: {
      type: 'enum',
      options: ['entryd', 'controld'],
      required: true,
      description: 'Daemon that uses the file',
    },
    json: {type: 'boolean', description: 'Print the settings as JSON'},
  },
  run: ({args}) =>
    runChecked(() => {
      const options = {file: args.file};
      const settings =
        args.daemon === 'entryd'
          ? readEntrydSettings(options)
          : readControldSettings(options);
      console.log(
        args.json === true ? JSON.stringify(settings) : `${args.file}: ok`,
      );
    }),
});

#!/usr/bin/env node
import {defineCommand, runMain} from 'citty';

import {checkSettingsCommand} from './checkSettings.js';
import {loadCommand} from './load.js';

const command = defineCommand({
  meta: {
    name: 'gentianshunt',
    description: 'Operates a gentianshunt deployment.',
  },
  subCommands: {
    'check-settings': checkSettingsCommand,
    load: loadCommand,
  },
});

await runMain(command);

#!/usr/bin/env node
import {defineCommand, runMain} from 'citty';

import {checkSettingsCommand} from './checkSettings.js';

const command = defineCommand({
  meta: {
    name: 'gentianshunt',
    description: 'Operates a gentianshunt deployment.',
  },
  subCommands: {
    'check-settings': checkSettingsCommand,
  },
});

await runMain(command);

#!/usr/bin/env node
import {defineCommand, runMain} from 'citty';

import {checkSettingsCommand} from './checkSettings.js';
import {commandCommand} from './command.js';
import {createKeyCommand} from './createKey.js';
import {explainCommand} from './explain.js';
import {loadCommand} from './load.js';
import {queryCommand} from './query.js';
import {reportCommand} from './report.js';

const command = defineCommand({
  meta: {
    name: 'gentianshunt',
    description: 'Operate a gentianshunt deployment.',
  },
  subCommands: {
    'check-settings': checkSettingsCommand,
    command: commandCommand,
    'create-key': createKeyCommand,
    explain: explainCommand,
    load: loadCommand,
    query: queryCommand,
    report: reportCommand,
  },
});

await runMain(command);

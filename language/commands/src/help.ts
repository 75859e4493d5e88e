import type {FieldSpec} from './objectFields.js';
import {TYPE_SPECS} from './objectFields.js';

/** Help on one statement. */
export interface HelpTopic {
  readonly name: string;
  readonly form: string;
  readonly text: string;
  readonly examples: readonly string[];
}

/** The topics of help, in the order in which they are listed. */
export const HELP_TOPICS: readonly HelpTopic[] = [
  {
    name: 'show',
    form: 'show TABLE [where CONDITION] [order by COLUMN [asc|desc]] [limit N]',
    text: 'Lists the rows of a table. Conditions compare a column by =, !=, <, <=, > or >=, or by in (VALUE, ...), joined by and, or, not and parentheses.',
    examples: [
      'show waiting where tier = gold order by waited-ms desc limit 10',
      'show endpoints where set in (drafts, registry)',
    ],
  },
  {
    name: 'create',
    form: 'create TYPE NAME FIELD VALUE ... [if revision = N]',
    text: 'Creates an object. It is refused when the object exists.',
    examples: [
      'create tier gold rank 1 weight 4',
      'create organisation north tiers gold, silver max-running 10',
      'create set drafts region nl-west model draft-model',
      'create kind issue-number idempotent false weight 3',
    ],
  },
  {
    name: 'set',
    form: 'set TYPE NAME FIELD VALUE ... [if revision = N]',
    text: 'Changes the named fields of an object and leaves the others.',
    examples: ['set tier gold weight 5 if revision = 3'],
  },
  {
    name: 'delete',
    form: 'delete TYPE NAME [if revision = N]',
    text: 'Deletes an object. It is refused while others refer to it, while a set has endpoints, and for the last tier.',
    examples: ['delete organisation north'],
  },
  {
    name: 'drain',
    form: 'drain endpoint NAME',
    text: 'Gives an endpoint no new work.',
    examples: ['drain endpoint e7'],
  },
  {
    name: 'undrain',
    form: 'undrain endpoint NAME',
    text: 'Gives an endpoint new work again.',
    examples: ['undrain endpoint e7'],
  },
  {
    name: 'load',
    form: 'load model MODEL [adapter ADAPTER] [version VERSION] on endpoint NAME',
    text: 'Orders an endpoint to load. Orders wait for the rate of the weight store and carry a fencing number.',
    examples: ['load model draft-model version 7 on endpoint e7'],
  },
  {
    name: 'change',
    form: 'change role of endpoint NAME to ROLE',
    text: 'Orders an endpoint to change its role.',
    examples: ['change role of endpoint e7 to prefill'],
  },
  {
    name: 'help',
    form: 'help [TOPIC]',
    text: 'Explains the language, a statement, a type or a table.',
    examples: ['help', 'help create', 'help tier'],
  },
];

/** Formats the help on everything. */
export function formatOverview(): string {
  return [
    'Statements; several commands separated by ; are one batch, done whole or not at all:',
    ...HELP_TOPICS.map(({form}) => `  ${form}`),
    `Types: ${TYPE_SPECS.map(({name}) => name).join(', ')}`,
    'help TOPIC explains a statement, a type or a table.',
  ].join('\n');
}

/** Formats the help on a statement or type, if there is one. */
export function formatTopic(name: string): string | undefined {
  const topic = HELP_TOPICS.find(candidate => candidate.name === name);
  const type = TYPE_SPECS.find(candidate => candidate.name === name);
  const lines = [
    ...(topic === undefined
      ? []
      : [
          topic.form,
          `  ${topic.text}`,
          ...topic.examples.map(example => `  example: ${example}`),
        ]),
    ...(type === undefined
      ? []
      : [`${type.name}: ${type.help}`, ...type.fields.map(formatField)]),
  ];
  return lines.length === 0 ? undefined : lines.join('\n');
}

function formatField(field: FieldSpec): string {
  const initial =
    field.initial === undefined ? '' : ` (default ${String(field.initial)})`;
  return `  ${field.name}: ${field.help}${initial}`;
}

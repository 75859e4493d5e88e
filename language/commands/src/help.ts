import type {FieldSpec} from './objectFields.js';
import {TYPE_SPECS} from './objectFields.js';

/** The help on one kind of statement. */
export interface HelpTopic {
  readonly name: string;
  readonly syntax: string;
  readonly text: string;
  readonly examples: readonly string[];
}

/** The help topics, in the order in which the overview lists them. */
export const HELP_TOPICS: readonly HelpTopic[] = [
  {
    name: 'show',
    syntax:
      'show TABLE [where CONDITION] [order by COLUMN [asc|desc]] [limit N]',
    text: 'Lists the rows of a table. Conditions compare a column with =, !=, <, <=, > or >=, or with in (VALUE, ...), and are combined with and, or, not and parentheses.',
    examples: [
      'show waiting where tier = gold order by waited-ms desc limit 10',
      'show endpoints where set in (drafts, registry)',
    ],
  },
  {
    name: 'create',
    syntax: 'create TYPE NAME FIELD VALUE ... [if revision = N]',
    text: 'Creates an object. The command is refused if the object exists.',
    examples: [
      'create tier gold rank 1 weight 4',
      'create organisation north tiers gold, silver max-running 10',
      'create set drafts region nl-west model draft-model',
      'create kind issue-number idempotent false weight 3',
    ],
  },
  {
    name: 'set',
    syntax: 'set TYPE NAME FIELD VALUE ... [if revision = N]',
    text: 'Changes the given fields of an object and keeps the others.',
    examples: ['set tier gold weight 5 if revision = 3'],
  },
  {
    name: 'delete',
    syntax: 'delete TYPE NAME [if revision = N]',
    text: 'Deletes an object. The command is refused while other objects refer to it, for a set that still has endpoints, and for the last tier.',
    examples: ['delete organisation north'],
  },
  {
    name: 'drain',
    syntax: 'drain endpoint NAME',
    text: 'Stops sending new requests to an endpoint.',
    examples: ['drain endpoint e7'],
  },
  {
    name: 'undrain',
    syntax: 'undrain endpoint NAME',
    text: 'Sends new requests to an endpoint again.',
    examples: ['undrain endpoint e7'],
  },
  {
    name: 'hold',
    syntax: 'hold prompt-part NAME',
    text: 'Refuses requests with a prompt part until it is lifted, or requests like one that `show quarantines` names.',
    examples: [
      'hold prompt-part 5c1e07a2',
      'hold prompt-part request.0c4fd2a196e87b3555d0c4fd2a196e87',
    ],
  },
  {
    name: 'lift',
    syntax: 'lift prompt-part NAME',
    text: 'Lets requests with a prompt part, or requests like one, run again, whether an operator or the entries held it. Further crashes hold it again.',
    examples: ['lift prompt-part 5c1e07a2'],
  },
  {
    name: 'load',
    syntax:
      'load model MODEL [adapter ADAPTER] [version VERSION] on endpoint NAME',
    text: 'Orders an endpoint to load a model. The order waits until the rate limit of the weight store allows it, and carries a fencing number.',
    examples: ['load model draft-model version 7 on endpoint e7'],
  },
  {
    name: 'change',
    syntax: 'change role of endpoint NAME to ROLE',
    text: 'Orders an endpoint to change its role.',
    examples: ['change role of endpoint e7 to prefill'],
  },
  {
    name: 'help',
    syntax: 'help [TOPIC]',
    text: 'Explains the language, a statement, a type or a table.',
    examples: ['help', 'help create', 'help tier'],
  },
];

/** Formats the help on the whole language. */
export function formatOverview(): string {
  return [
    'Statements; several commands separated by ; are one batch, applied completely or not at all:',
    ...HELP_TOPICS.map(({syntax}) => `  ${syntax}`),
    `Types: ${TYPE_SPECS.map(({name}) => name).join(', ')}`,
    'help TOPIC explains a statement, a type or a table.',
  ].join('\n');
}

/** Formats the help on a statement or object type, if the name is one. */
export function formatTopic(name: string): string | undefined {
  const topic = HELP_TOPICS.find(candidate => candidate.name === name);
  const type = TYPE_SPECS.find(candidate => candidate.name === name);
  const lines = [
    ...(topic === undefined
      ? []
      : [
          topic.syntax,
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

import type * as z from 'zod';

import {controldSchema, entrydSchema} from './schema.js';
import type {ControldSettings, EntrydSettings} from './schema.js';
import {parseToml, readText} from './settingsFile.js';
import {SettingsError} from './settingsError.js';

/** Options for reading a settings file. */
export interface ReadSettingsOptions {
  readonly file: string;
}

/** Reads and validates the settings of an entry daemon. */
export function readEntrydSettings(
  options: ReadSettingsOptions,
): EntrydSettings {
  return readValidated(options.file, entrydSchema);
}

/** Reads and validates the settings of a control daemon. */
export function readControldSettings(
  options: ReadSettingsOptions,
): ControldSettings {
  return readValidated(options.file, controldSchema);
}

interface CommonSettings {
  readonly node: string;
  readonly control: readonly {readonly node: string}[];
}

function readValidated<Settings extends CommonSettings>(
  file: string,
  schema: z.ZodType<Settings>,
): Settings {
  const text = readText(file);
  const result = schema.safeParse(parseToml(file, text));
  if (!result.success) {
    const issue = result.error.issues[0]!;
    throw createIssueError(file, text, issue);
  }
  checkDuplicateNodes(file, text, result.data);
  return result.data;
}

function createIssueError(
  file: string,
  text: string,
  issue: z.core.$ZodIssue,
): SettingsError {
  const unknownKey =
    issue.code === 'unrecognized_keys' ? issue.keys[0] : undefined;
  const path =
    unknownKey === undefined ? issue.path : [...issue.path, unknownKey];
  const key = path.map(String).join('.');
  const reason = unknownKey === undefined ? issue.message : 'unknown key';
  return new SettingsError(file, key, findLine(text, path), reason);
}

/** Finds the line that sets the last key in the path of an issue. */
function findLine(text: string, path: readonly PropertyKey[]): number | null {
  const name = [...path].reverse().find(part => typeof part === 'string');
  if (name === undefined) {
    return null;
  }
  const pattern = new RegExp(`(^|[\\s{,.])"?${String(name)}"?\\s*(=|\\])`);
  const index = text.split('\n').findIndex(line => pattern.test(line));
  return index < 0 ? null : index + 1;
}

function checkDuplicateNodes(
  file: string,
  text: string,
  settings: CommonSettings,
): void {
  const seen = new Set<string>();
  for (const {node} of settings.control) {
    if (seen.has(node)) {
      const reason = `VM ${node} is listed twice`;
      throw new SettingsError(
        file,
        'control.node',
        findLastLine(text, node),
        reason,
      );
    }
    seen.add(node);
  }
}

/** Finds the last line that contains a quoted value. */
function findLastLine(text: string, value: string): number | null {
  const lines = text.split('\n');
  for (let index = lines.length - 1; index >= 0; index -= 1) {
    if (lines[index]!.includes(`"${value}"`)) {
      return index + 1;
    }
  }
  return null;
}

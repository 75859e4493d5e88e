import {readFileSync} from 'node:fs';

import {parse, TomlError} from 'smol-toml';

import {SettingsError} from './settingsError.js';

/** Reads the text of a settings file. */
export function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(file, '', null, (error as Error).message);
  }
}

/** Parses the text of a settings file. */
export function parseToml(file: string, text: string): unknown {
  try {
    return parse(text);
  } catch (error) {
    if (error instanceof TomlError) {
      const reason = error.message.split('\n')[0]!;
      throw new SettingsError(file, '', error.line, reason);
    }
    throw error;
  }
}

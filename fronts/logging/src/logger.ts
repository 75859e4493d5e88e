import createDebug from 'debug';

import {formatFields, listFields} from './logEvent.js';
import type {LogEvent} from './logEvent.js';

/** Writes events to the log. */
export interface Logger {
  write(event: LogEvent): void;
}

/** What a logger needs. */
export interface LoggerOptions {
  /** Part of the namespace after `gentianshunt:`. */
  readonly namespace: string;
}

/** Creates a logger that `DEBUG=gentianshunt:*` turns on. */
export function createLogger(options: LoggerOptions): Logger {
  const log = createDebug(`gentianshunt:${options.namespace}`);
  return {
    write: event => {
      if (log.enabled) {
        log('%s', formatFields(listFields(event)));
      }
    },
  };
}

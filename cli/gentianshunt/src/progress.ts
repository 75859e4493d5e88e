/** A progress display. */
export interface Progress {
  advance(): void;
  finish(): void;
}

export interface ProgressOptions {
  /** Number of steps in the work. */
  readonly total: number;
  /** Name of the counted items. */
  readonly label: string;
}

/** Fraction of the work between two updates of the display. */
const UPDATE_FRACTION = 0.01;

/**
 * Creates a progress display on standard error. It prints nothing if standard
 * error is not a terminal, so that scripts get clean output.
 */
export function createProgress(options: ProgressOptions): Progress {
  const {total, label} = options;
  const isShown = process.stderr.isTTY;
  const step = Math.max(1, Math.floor(total * UPDATE_FRACTION));
  let done = 0;
  const show = (): void => {
    process.stderr.write(`\r${done}/${total} ${label}`);
  };
  return {
    advance: () => {
      done += 1;
      if (isShown && done % step === 0) {
        show();
      }
    },
    finish: () => {
      if (isShown) {
        show();
        process.stderr.write('\n');
      }
    },
  };
}

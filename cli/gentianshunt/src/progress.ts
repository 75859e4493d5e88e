/** Shows how far a long piece of work has come. */
export interface Progress {
  advance(): void;
  finish(): void;
}

/** What a progress display needs. */
export interface ProgressOptions {
  readonly total: number;
  /** Names what is counted. */
  readonly label: string;
}

/** Least share of the work between two updates of the display. */
const UPDATE_SHARE = 0.01;

/**
 * Creates a display on standard error; it stays silent where that is not a
 * terminal, so that scripts get clean output.
 */
export function createProgress(options: ProgressOptions): Progress {
  const {total, label} = options;
  const isShown = process.stderr.isTTY;
  const step = Math.max(1, Math.floor(total * UPDATE_SHARE));
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

/** Where an error occurred: the operation and the peer involved. */
export interface ErrorOrigin {
  /** The operation that failed, such as `openStream`. */
  readonly step: string;
  /** The peer, file or component that the step used. */
  readonly peer: string;
}

/** The parts of an error. */
export interface SchedulerErrorOptions {
  /** Stable identifier, such as `ERR_FRAME_TOO_LARGE`. */
  readonly code: string;
  readonly message: string;
  readonly origin: ErrorOrigin;
  /** What the operator can do about it. */
  readonly hint?: string;
  readonly cause?: unknown;
}

/** Base class of all errors that the scheduler throws. */
export class SchedulerError extends Error {
  readonly code: string;
  readonly origin: ErrorOrigin;
  readonly hint: string | undefined;

  constructor(options: SchedulerErrorOptions) {
    super(options.message, {cause: options.cause});
    this.name = new.target.name;
    this.code = options.code;
    this.origin = options.origin;
    this.hint = options.hint;
  }
}

/** Formats an error with its code, step, peer and hint on one line. */
export function formatError(error: unknown): string {
  if (!(error instanceof SchedulerError)) {
    return error instanceof Error ? error.message : String(error);
  }
  const {step, peer} = error.origin;
  const hint = error.hint === undefined ? '' : ` (${error.hint})`;
  return `${error.code}: ${error.message} [step ${step}, peer ${peer}]${hint}`;
}

/** Thrown when a value of a closed union has an unknown kind. */
export class UnreachableCaseError extends SchedulerError {
  constructor(value: never, step: string) {
    super({
      code: 'ERR_UNREACHABLE_CASE',
      message: `unexpected variant ${JSON.stringify(value)}`,
      origin: {step, peer: 'self'},
    });
  }
}

/** Ends an exhaustive switch; compiles only when every case is handled. */
export function assertNever(value: never, step: string): never {
  throw new UnreachableCaseError(value, step);
}

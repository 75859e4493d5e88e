import {SchedulerError} from '@gentianshunt/errors';

/** A controller wrote a section it does not own. */
export class SectionOwnershipError extends SchedulerError {
  constructor(controller: string, section: string) {
    super({
      code: 'ERR_SECTION_OWNERSHIP',
      message: `controller ${controller} wrote section ${section} without owning it`,
      origin: {step: 'commit', peer: controller},
      hint: 'declare the section in `writes`, and in no other controller',
    });
  }
}

/** Two controllers declared the same section in `writes`. */
export class DuplicateWriterError extends SchedulerError {
  constructor(section: string, first: string, second: string) {
    super({
      code: 'ERR_DUPLICATE_WRITER',
      message: `section ${section} is written by ${first} and by ${second}`,
      origin: {step: 'createControlLoop', peer: second},
      hint: 'remove the section from `writes` of all controllers but one',
    });
  }
}

/** The controllers kept changing the board beyond the limit of rounds. */
export class UnsettledTurnError extends SchedulerError {
  constructor(controllers: readonly string[], rounds: number) {
    super({
      code: 'ERR_UNSETTLED_TURN',
      message: `controllers ${controllers.join(', ')} still change the board after ${rounds} rounds`,
      origin: {step: 'runTurn', peer: 'self'},
    });
  }
}

/** A controller failed; what it wrote in this turn is lost. */
export class ControllerFailedError extends SchedulerError {
  constructor(controller: string, observation: string, cause: unknown) {
    const message = cause instanceof Error ? cause.message : String(cause);
    super({
      code: 'ERR_CONTROLLER_FAILED',
      message: `${message} (while it handled ${observation})`,
      origin: {step: controller, peer: 'self'},
      cause,
    });
  }
}

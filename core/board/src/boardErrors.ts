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

/** Two controllers declared the same section as theirs to write. */
export class DuplicateWriterError extends SchedulerError {
  constructor(section: string, first: string, second: string) {
    super({
      code: 'ERR_DUPLICATE_WRITER',
      message: `section ${section} is written by ${first} and by ${second}`,
      origin: {step: 'createControlLoop', peer: second},
      hint: 'let one controller own the section',
    });
  }
}

/** The controllers kept changing the board without coming to rest. */
export class UnsettledTurnError extends SchedulerError {
  constructor(controllers: readonly string[], rounds: number) {
    super({
      code: 'ERR_UNSETTLED_TURN',
      message: `controllers ${controllers.join(', ')} did not settle in ${rounds} rounds`,
      origin: {step: 'runTurn', peer: 'self'},
    });
  }
}

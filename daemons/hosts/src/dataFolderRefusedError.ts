import type {HaltReason} from '@gentianshunt/controlModel';
import {assertNever, SchedulerError} from '@gentianshunt/errors';

/** Thrown when the other members reject the data folder of this member. */
export class DataFolderRefusedError extends SchedulerError {
  constructor(folder: string, reason: HaltReason) {
    super({
      code: 'ERR_DATA_FOLDER_REFUSED',
      message: `${folder}: ${describeReason(reason)}`,
      origin: {step: 'checkDataFolder', peer: reason.peer},
      hint: 'empty the data folder; the member is then admitted again as a learner',
    });
  }
}

function describeReason(reason: HaltReason): string {
  switch (reason.kind) {
    case 'oldFolder': {
      const {term, index} = reason.witness;
      return `the state is outdated; a peer remembers term ${term} and index ${index}`;
    }
    case 'folderReplaced':
      return 'another data folder has replaced it in the group';
    default:
      return assertNever(reason, 'describeReason');
  }
}

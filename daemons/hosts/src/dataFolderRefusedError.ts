import type {HaltReason} from '@gentianshunt/controlModel';
import {assertNever, SchedulerError} from '@gentianshunt/errors';

/** A data folder that the other members do not accept. */
export class DataFolderRefusedError extends SchedulerError {
  constructor(folder: string, reason: HaltReason) {
    super({
      code: 'ERR_DATA_FOLDER_REFUSED',
      message: `${folder}: ${describe(reason)}`,
      origin: {step: 'checkDataFolder', peer: reason.peer},
      hint: 'empty the data folder; the member is then admitted again as a learner',
    });
  }
}

function describe(reason: HaltReason): string {
  switch (reason.kind) {
    case 'oldFolder': {
      const {term, index} = reason.witness;
      return `an old state; it held term ${term} and index ${index} before`;
    }
    case 'folderReplaced':
      return 'the members have replaced it by another folder';
    default:
      return assertNever(reason, 'describe');
  }
}

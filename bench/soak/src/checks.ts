import {checkAcknowledgements} from './checkAcknowledgements.js';
import {checkAddedRoutes} from './checkAddedRoutes.js';
import {checkCancelled} from './checkCancelled.js';
import {checkConfigurationReads} from './checkConfigurationReads.js';
import {checkClosedWithoutAnswer, checkPlannedWork} from './checkCuts.js';
import {checkDataFolders} from './checkDataFolders.js';
import {checkLeases} from './checkLeases.js';
import {checkLeaves, checkLeavingAnswers} from './checkLeaves.js';
import {checkObeyedVersions} from './checkObeyedVersions.js';
import {checkMemory, checkProcessEnds} from './checkProcesses.js';
import {checkReadBack} from './checkReadBack.js';
import {checkRecovery} from './checkRecovery.js';
import {checkRefusedDocuments} from './checkRefusedDocuments.js';
import {checkRegressions} from './checkRegressions.js';
import {checkRepeatedOrders} from './checkRepeatedOrders.js';
import {
  checkAnswers,
  checkBodies,
  checkRefusals,
  checkRunOnce,
} from './checkRequests.js';
import {checkRevokedKeys} from './checkRevokedKeys.js';
import type {CheckName, Finding} from './finding.js';
import type {RunHistory} from './runHistory.js';

/** All checkers by name. */
export const CHECKS: Readonly<
  Record<CheckName, (history: RunHistory) => readonly Finding[]>
> = {
  leaves: checkLeaves,
  leavingAnswers: checkLeavingAnswers,
  runOnce: checkRunOnce,
  refusals: checkRefusals,
  answers: checkAnswers,
  bodies: checkBodies,
  cancelled: checkCancelled,
  closedWithoutAnswer: checkClosedWithoutAnswer,
  plannedWork: checkPlannedWork,
  acknowledgements: checkAcknowledgements,
  processEnds: checkProcessEnds,
  memory: checkMemory,
  dataFolders: checkDataFolders,
  obeyedVersions: checkObeyedVersions,
  configurationReads: checkConfigurationReads,
  addedRoutes: checkAddedRoutes,
  regressions: checkRegressions,
  revokedKeys: checkRevokedKeys,
  refusedDocuments: checkRefusedDocuments,
  repeatedOrders: checkRepeatedOrders,
  readBack: checkReadBack,
  leases: checkLeases,
  recovery: checkRecovery,
};

/** Runs all checkers; returns their findings in order of time. */
export function checkHistory(history: RunHistory): readonly Finding[] {
  return Object.values(CHECKS)
    .flatMap(check => check(history))
    .sort((left, right) => left.at - right.at);
}

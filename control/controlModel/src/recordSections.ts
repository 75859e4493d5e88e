import {defineCell} from '@gentianshunt/board';

import {NO_JOINERS, NO_MEMBER_CHANGES, NO_SEARCH} from './groupWatch.js';
import type {
  CopyWatch,
  JoinWatch,
  LeaderSearch,
  MemberChanges,
} from './groupWatch.js';
import {EMPTY_LOG_USAGE, NO_SNAPSHOT_ACTIVITY} from './logActivity.js';
import type {LogUsage, SnapshotActivity, StartProgress} from './logActivity.js';
import {NOTHING_LOGGED} from './loggedState.js';
import type {LeaderConfirmation, LoggedState} from './loggedState.js';

/** Creates the sections of what a member observes, for its log and metrics. */
export function createRecordSections() {
  return {
    logUsage: defineCell<LogUsage>(EMPTY_LOG_USAGE),
    snapshotActivity: defineCell<SnapshotActivity>(NO_SNAPSHOT_ACTIVITY),
    /** `null` until the process has read its data folder. */
    startProgress: defineCell<StartProgress | null>(null),
    /** The state that the decision log recorded last. */
    loggedState: defineCell<LoggedState>(NOTHING_LOGGED),
    copyWatch: defineCell<CopyWatch>({kind: 'following'}),
    joinWatch: defineCell<JoinWatch>(NO_JOINERS),
    memberChanges: defineCell<MemberChanges>(NO_MEMBER_CHANGES),
    leaderSearch: defineCell<LeaderSearch>(NO_SEARCH),
    leaderConfirmation: defineCell<LeaderConfirmation>({kind: 'following'}),
  };
}

import type {RunTime} from './recordedEvent.js';
import type {RunHistory} from './runHistory.js';

/** Time around an event in which delays of the recorder count, in ms. */
const DELAY_WINDOW_MS = 1_000;

/** Measures by how much the time of an event may have been recorded late. */
export function measureDelay({delays}: RunHistory, at: RunTime): number {
  return delays
    .filter(delay => Math.abs(delay.at - at) <= DELAY_WINDOW_MS)
    .reduce((longest, {delayMs}) => Math.max(longest, delayMs), 0);
}

import type {RunTime} from './recordedEvent.js';
import {listEvents} from './runHistory.js';
import type {RunHistory} from './runHistory.js';

/** Time around an event in which delays of the recorder count, in ms. */
const DELAY_WINDOW_MS = 1_000;

/** Measures by how much the time of an event may have been recorded late. */
export function measureDelay({events}: RunHistory, at: RunTime): number {
  const delays = listEvents(events, 'recorderDelayed')
    .filter(event => Math.abs(event.at - at) <= DELAY_WINDOW_MS)
    .map(({delayMs}) => delayMs);
  return Math.max(0, ...delays);
}

const MILLISECONDS_PER_SECOND = 1_000;
const SECONDS_PATTERN = /^\d+(\.\d+)?$/;
const TIME_OF_DAY_PATTERN = /^\d{2}:\d{2}:\d{2}(\.\d{1,3})?$/;

/**
 * Parses a time: seconds after the first log line, such as `40.2`, a UTC time
 * of the first line's day, such as `07:41:47.1`, or a date with time in ISO
 * 8601. Returns `undefined` if it is none of these.
 */
export function parseTime(text: string, firstLineAt: Date): Date | undefined {
  if (SECONDS_PATTERN.test(text)) {
    const offsetMs = Number(text) * MILLISECONDS_PER_SECOND;
    return new Date(firstLineAt.getTime() + offsetMs);
  }
  const [day] = firstLineAt.toISOString().split('T');
  const isTimeOfDay = TIME_OF_DAY_PATTERN.test(text);
  const at = new Date(isTimeOfDay ? `${day}T${text}Z` : text);
  return Number.isNaN(at.getTime()) ? undefined : at;
}

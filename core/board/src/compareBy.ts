type Comparable = string | number;

/** Compares two strings or two numbers in ascending order. */
export function compareValues<Value extends Comparable>(
  left: Value,
  right: Value,
): number {
  if (left === right) {
    return 0;
  }
  return left < right ? -1 : 1;
}

/** Creates a comparison by the named fields, in order of significance. */
export function compareBy<
  Field extends string,
  Key extends {readonly [Name in Field]: Comparable},
>(...fields: readonly Field[]): (left: Key, right: Key) => number {
  return fields.reduceRight<(left: Key, right: Key) => number>(
    (compareRest, field) => (left, right) => {
      const leftValue = left[field];
      const rightValue = right[field];
      if (leftValue === rightValue) {
        return compareRest(left, right);
      }
      return leftValue < rightValue ? -1 : 1;
    },
    () => 0,
  );
}

import type {Spec} from 'vega';

/** One bar segment: a policy's goodput in a tier in one run. */
export interface ChartRow {
  readonly policy: string;
  readonly tier: string;
  readonly goodput: number;
}

const WIDTH_PX = 640;
const HEIGHT_PX = 320;

/** Creates a chart of the mean goodput by policy and tier over several runs. */
export function createComparisonChart(
  rows: readonly ChartRow[],
  runs: number,
): Spec {
  return {
    width: WIDTH_PX,
    height: HEIGHT_PX,
    padding: 10,
    background: 'white',
    title: `Weighted goodput by policy, mean of ${runs} runs`,
    data: [
      {
        name: 'rows',
        values: [...rows],
        transform: [
          {
            type: 'aggregate',
            groupby: ['policy', 'tier'],
            ops: ['sum'],
            fields: ['goodput'],
            as: ['total'],
          },
          {type: 'formula', expr: `datum.total / ${runs}`, as: 'mean'},
          {
            type: 'stack',
            groupby: ['policy'],
            sort: {field: 'tier'},
            field: 'mean',
          },
        ],
      },
    ],
    scales: [
      {
        name: 'x',
        type: 'linear',
        domain: {data: 'rows', field: 'y1'},
        range: 'width',
        nice: true,
      },
      {
        name: 'y',
        type: 'band',
        domain: {data: 'rows', field: 'policy'},
        range: 'height',
        padding: 0.2,
      },
      {
        name: 'color',
        type: 'ordinal',
        domain: {data: 'rows', field: 'tier', sort: true},
        range: 'category',
      },
    ],
    axes: [
      {orient: 'bottom', scale: 'x', title: 'answered, weighted by kind'},
      {orient: 'left', scale: 'y'},
    ],
    legends: [{fill: 'color'}],
    marks: [
      {
        type: 'rect',
        from: {data: 'rows'},
        encode: {
          enter: {
            x: {scale: 'x', field: 'y0'},
            x2: {scale: 'x', field: 'y1'},
            y: {scale: 'y', field: 'policy'},
            height: {scale: 'y', band: 1},
            fill: {scale: 'color', field: 'tier'},
          },
        },
      },
    ],
  };
}

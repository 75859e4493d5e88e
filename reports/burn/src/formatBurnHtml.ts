import type {BurnReport, BurnRow} from './burnReport.js';
import {listCells} from './formatBurnText.js';

const HEADER = [
  'Window',
  'Tier',
  'Organisation',
  'Good',
  'Bad',
  'Bad share',
  'Burn',
];
/** Burn at which a bar reaches its full width. */
const FULL_BAR_BURN = 4;
const BAR_WIDTH_PX = 120;

const STYLE = `
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { padding: 0.2em 0.8em; text-align: left; }
tr.all { font-weight: bold; border-top: 1px solid #999; }
rect.within { fill: #4a8; }
rect.over { fill: #c44; }
`;

/** Formats a report as an HTML page with a bar for each row. */
export function formatBurnHtml(report: BurnReport): string {
  const head = HEADER.map(title => `<th>${title}</th>`).join('');
  const rows = report.rows.map(formatRow).join('\n');
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8">',
    `<title>Service-level burn</title><style>${STYLE}</style></head>`,
    `<body><h1>Service-level burn</h1><p>${report.at.toISOString()}</p>`,
    `<table><thead><tr>${head}<th></th></tr></thead><tbody>`,
    rows,
    '</tbody></table></body></html>',
  ].join('\n');
}

function formatRow(row: BurnRow): string {
  const cells = listCells(row)
    .map(cell => `<td>${escapeHtml(cell)}</td>`)
    .join('');
  const rowClass = row.organisation === null ? ' class="all"' : '';
  return `<tr${rowClass}>${cells}<td>${formatBar(row.burn)}</td></tr>`;
}

function formatBar(burn: number | null): string {
  if (burn === null) {
    return '';
  }
  const fraction = Math.min(burn / FULL_BAR_BURN, 1);
  const width = Math.round(fraction * BAR_WIDTH_PX);
  const barClass = burn > 1 ? 'over' : 'within';
  return `<svg width="${BAR_WIDTH_PX}" height="10"><rect class="${barClass}" width="${width}" height="10"/></svg>`;
}

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}

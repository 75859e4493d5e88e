import {createModelEngines, createServiceEngines} from './profile.js';
import type {Profile} from './profile.js';

const MODEL_SET = 'model';

/** Calibration certificates, drift logs and auditors' questions. */
export const TIMAVORDUR: Profile = {
  id: 'timavordur',
  engines: [
    ...createModelEngines(MODEL_SET, [2, 1.6, 1.2, 1.2, 1, 0.8, 0.6, 0.5]),
    ...createServiceEngines('registry', 3),
  ],
  kinds: [
    {
      id: 'status',
      set: MODEL_SET,
      value: 1,
      weight: 34,
      prompt: {least: 60, greatest: 400},
      answer: {least: 15, greatest: 80},
      patience: {
        earlyShare: 0.25,
        earlyMedianMs: 1_500,
        medianMs: 12_000,
        sigma: 0.5,
      },
      tiers: [
        {rank: 1, weight: 0.2},
        {rank: 2, weight: 0.4},
        {rank: 3, weight: 0.4},
      ],
      prefixes: 4,
    },
    {
      id: 'certificateDraft',
      set: MODEL_SET,
      value: 5,
      weight: 14,
      prompt: {least: 600, greatest: 3_000},
      answer: {least: 120, greatest: 600},
      patience: {
        earlyShare: 0.3,
        earlyMedianMs: 4_000,
        medianMs: 45_000,
        sigma: 0.6,
      },
      tiers: [
        {rank: 1, weight: 0.4},
        {rank: 2, weight: 0.4},
        {rank: 3, weight: 0.2},
      ],
      prefixes: 6,
    },
    {
      id: 'driftSummary',
      set: MODEL_SET,
      value: 2,
      weight: 26,
      prompt: {least: 3_000, greatest: 12_000},
      answer: {least: 120, greatest: 700},
      patience: {
        earlyShare: 0.75,
        earlyMedianMs: 4_000,
        medianMs: 40_000,
        sigma: 0.6,
      },
      tiers: [
        {rank: 1, weight: 0.04},
        {rank: 2, weight: 0.36},
        {rank: 3, weight: 0.6},
      ],
      prefixes: 10,
    },
    {
      id: 'auditAnswer',
      set: MODEL_SET,
      value: 3,
      weight: 18,
      prompt: {least: 400, greatest: 6_000},
      answer: {least: 60, greatest: 500},
      patience: {
        earlyShare: 0.5,
        earlyMedianMs: 3_000,
        medianMs: 30_000,
        sigma: 0.6,
      },
      tiers: [
        {rank: 1, weight: 0.1},
        {rank: 2, weight: 0.4},
        {rank: 3, weight: 0.5},
      ],
      prefixes: 6,
    },
    {
      id: 'certificateNumber',
      set: 'registry',
      value: 1,
      weight: 8,
      prompt: {least: 20, greatest: 40},
      answer: {least: 4, greatest: 8},
      patience: {
        earlyShare: 0,
        earlyMedianMs: 1_000,
        medianMs: 20_000,
        sigma: 0.3,
      },
      tiers: [
        {rank: 1, weight: 0.5},
        {rank: 2, weight: 0.5},
      ],
      prefixes: 0,
    },
  ],
  organisations: [
    {id: 'gridOperator', weight: 40},
    {id: 'telecom', weight: 30},
    {id: 'laboratories', weight: 20},
    {id: 'university', weight: 7},
    {id: 'observatory', weight: 3},
  ],
  tierCount: 3,
  entries: ['entry1', 'entry2', 'entry3', 'entry4'],
  linkMs: 0.5,
  burst: {everyMs: 20_000, lengthMs: 3_000, factor: 2},
};

/** Battery take-back: classifying, manifests and collection histories. */
export const ACCUTERUG: Profile = {
  id: 'accuterug',
  engines: [
    ...createModelEngines(MODEL_SET, [1.8, 1.4, 1, 1, 0.7, 0.5]),
    ...createServiceEngines('ledger', 4),
  ],
  kinds: [
    {
      id: 'classify',
      set: MODEL_SET,
      value: 1,
      weight: 46,
      prompt: {least: 80, greatest: 800},
      answer: {least: 15, greatest: 120},
      patience: {
        earlyShare: 0.35,
        earlyMedianMs: 1_500,
        medianMs: 15_000,
        sigma: 0.5,
      },
      tiers: [
        {rank: 1, weight: 0.3},
        {rank: 2, weight: 0.4},
        {rank: 3, weight: 0.3},
      ],
      prefixes: 3,
    },
    {
      id: 'manifest',
      set: MODEL_SET,
      value: 4,
      weight: 18,
      prompt: {least: 500, greatest: 3_000},
      answer: {least: 150, greatest: 700},
      patience: {
        earlyShare: 0.5,
        earlyMedianMs: 4_000,
        medianMs: 50_000,
        sigma: 0.6,
      },
      tiers: [
        {rank: 1, weight: 0.2},
        {rank: 2, weight: 0.5},
        {rank: 3, weight: 0.3},
      ],
      prefixes: 5,
    },
    {
      id: 'collectionSummary',
      set: MODEL_SET,
      value: 2,
      weight: 26,
      prompt: {least: 2_000, greatest: 8_000},
      answer: {least: 100, greatest: 600},
      patience: {
        earlyShare: 0.7,
        earlyMedianMs: 3_000,
        medianMs: 40_000,
        sigma: 0.6,
      },
      tiers: [
        {rank: 1, weight: 0.04},
        {rank: 2, weight: 0.3},
        {rank: 3, weight: 0.66},
      ],
      prefixes: 10,
    },
    {
      id: 'collectionCredit',
      set: 'ledger',
      value: 2,
      weight: 10,
      prompt: {least: 20, greatest: 40},
      answer: {least: 4, greatest: 8},
      patience: {
        earlyShare: 0,
        earlyMedianMs: 1_000,
        medianMs: 20_000,
        sigma: 0.3,
      },
      tiers: [
        {rank: 1, weight: 0.6},
        {rank: 2, weight: 0.4},
      ],
      prefixes: 0,
    },
  ],
  organisations: [
    {id: 'retailNorth', weight: 42},
    {id: 'retailSouth', weight: 30},
    {id: 'garages', weight: 17},
    {id: 'municipality', weight: 8},
    {id: 'repairCafe', weight: 3},
  ],
  tierCount: 3,
  entries: ['entry1', 'entry2', 'entry3', 'entry4'],
  linkMs: 1.5,
  burst: {everyMs: 15_000, lengthMs: 2_000, factor: 2.5},
};

/** Finds a profile by its name. */
export function findProfile(id: string): Profile | undefined {
  return [TIMAVORDUR, ACCUTERUG].find(profile => profile.id === id);
}

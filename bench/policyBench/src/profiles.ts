import {createModelEngines, createServiceEngines} from './profile.js';
import type {Profile} from './profile.js';

const MODEL_SET = 'model';

/** Traffic on calibration certificates, drift logs and audit questions. */
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
      goodputWeight: 1,
      weight: 34,
      prompt: {min: 60, max: 400},
      answer: {min: 15, max: 80},
      patience: {
        earlyFraction: 0.25,
        earlyMedianMs: 1_500,
        medianMs: 12_000,
        sigma: 0.5,
      },
      tiers: [
        {rank: 1, weight: 0.2},
        {rank: 2, weight: 0.4},
        {rank: 3, weight: 0.4},
      ],
      prefixCount: 4,
    },
    {
      id: 'certificateDraft',
      set: MODEL_SET,
      goodputWeight: 5,
      weight: 14,
      prompt: {min: 600, max: 3_000},
      answer: {min: 120, max: 600},
      patience: {
        earlyFraction: 0.3,
        earlyMedianMs: 4_000,
        medianMs: 45_000,
        sigma: 0.6,
      },
      tiers: [
        {rank: 1, weight: 0.4},
        {rank: 2, weight: 0.4},
        {rank: 3, weight: 0.2},
      ],
      prefixCount: 6,
    },
    {
      id: 'driftSummary',
      set: MODEL_SET,
      goodputWeight: 2,
      weight: 26,
      prompt: {min: 3_000, max: 12_000},
      answer: {min: 120, max: 700},
      patience: {
        earlyFraction: 0.75,
        earlyMedianMs: 4_000,
        medianMs: 40_000,
        sigma: 0.6,
      },
      tiers: [
        {rank: 1, weight: 0.04},
        {rank: 2, weight: 0.36},
        {rank: 3, weight: 0.6},
      ],
      prefixCount: 10,
    },
    {
      id: 'auditAnswer',
      set: MODEL_SET,
      goodputWeight: 3,
      weight: 18,
      prompt: {min: 400, max: 6_000},
      answer: {min: 60, max: 500},
      patience: {
        earlyFraction: 0.5,
        earlyMedianMs: 3_000,
        medianMs: 30_000,
        sigma: 0.6,
      },
      tiers: [
        {rank: 1, weight: 0.1},
        {rank: 2, weight: 0.4},
        {rank: 3, weight: 0.5},
      ],
      prefixCount: 6,
    },
    {
      id: 'certificateNumber',
      set: 'registry',
      goodputWeight: 1,
      weight: 8,
      prompt: {min: 20, max: 40},
      answer: {min: 4, max: 8},
      patience: {
        earlyFraction: 0,
        earlyMedianMs: 1_000,
        medianMs: 20_000,
        sigma: 0.3,
      },
      tiers: [
        {rank: 1, weight: 0.5},
        {rank: 2, weight: 0.5},
      ],
      prefixCount: 0,
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
  linkDelayMs: 0.5,
  burst: {periodMs: 20_000, durationMs: 3_000, factor: 2},
};

/** Traffic of battery take-back: classifying, manifests and collections. */
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
      goodputWeight: 1,
      weight: 46,
      prompt: {min: 80, max: 800},
      answer: {min: 15, max: 120},
      patience: {
        earlyFraction: 0.35,
        earlyMedianMs: 1_500,
        medianMs: 15_000,
        sigma: 0.5,
      },
      tiers: [
        {rank: 1, weight: 0.3},
        {rank: 2, weight: 0.4},
        {rank: 3, weight: 0.3},
      ],
      prefixCount: 3,
    },
    {
      id: 'manifest',
      set: MODEL_SET,
      goodputWeight: 4,
      weight: 18,
      prompt: {min: 500, max: 3_000},
      answer: {min: 150, max: 700},
      patience: {
        earlyFraction: 0.5,
        earlyMedianMs: 4_000,
        medianMs: 50_000,
        sigma: 0.6,
      },
      tiers: [
        {rank: 1, weight: 0.2},
        {rank: 2, weight: 0.5},
        {rank: 3, weight: 0.3},
      ],
      prefixCount: 5,
    },
    {
      id: 'collectionSummary',
      set: MODEL_SET,
      goodputWeight: 2,
      weight: 26,
      prompt: {min: 2_000, max: 8_000},
      answer: {min: 100, max: 600},
      patience: {
        earlyFraction: 0.7,
        earlyMedianMs: 3_000,
        medianMs: 40_000,
        sigma: 0.6,
      },
      tiers: [
        {rank: 1, weight: 0.04},
        {rank: 2, weight: 0.3},
        {rank: 3, weight: 0.66},
      ],
      prefixCount: 10,
    },
    {
      id: 'collectionCredit',
      set: 'ledger',
      goodputWeight: 2,
      weight: 10,
      prompt: {min: 20, max: 40},
      answer: {min: 4, max: 8},
      patience: {
        earlyFraction: 0,
        earlyMedianMs: 1_000,
        medianMs: 20_000,
        sigma: 0.3,
      },
      tiers: [
        {rank: 1, weight: 0.6},
        {rank: 2, weight: 0.4},
      ],
      prefixCount: 0,
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
  linkDelayMs: 1.5,
  burst: {periodMs: 15_000, durationMs: 2_000, factor: 2.5},
};

/** Finds a profile by its name. */
export function findProfile(id: string): Profile | undefined {
  return [TIMAVORDUR, ACCUTERUG].find(profile => profile.id === id);
}

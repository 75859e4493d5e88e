import type {
  EntryController,
  EntryEffect,
  EntryObservation,
} from '@gentianshunt/entryModel';
import {createEntryControllers} from '@gentianshunt/entryNode';

/** Creates the usual controllers, some of them with altered observations. */
export function createWithObservations(
  names: readonly string[],
  alter: (observation: EntryObservation) => EntryObservation,
): readonly EntryController[] {
  return replaceControllers(names, controller => ({
    ...controller,
    run: (view, now) => {
      const observation =
        view.observation === undefined ? undefined : alter(view.observation);
      return controller.run({...view, observation}, now);
    },
  }));
}

/** Creates the usual controllers, one of them with altered effects. */
export function createWithEffects(
  name: string,
  alter: (effect: EntryEffect) => readonly EntryEffect[],
): readonly EntryController[] {
  return replaceController(name, controller => ({
    ...controller,
    run: (view, now) => {
      const writes = controller.run(view, now);
      return writes.flatMap<(typeof writes)[number]>(write =>
        write.kind === 'effect'
          ? alter(write.effect).map(effect => ({kind: 'effect', effect}))
          : [write],
      );
    },
  }));
}

function replaceController(
  name: string,
  replace: (controller: EntryController) => EntryController,
): readonly EntryController[] {
  return replaceControllers([name], replace);
}

function replaceControllers(
  names: readonly string[],
  replace: (controller: EntryController) => EntryController,
): readonly EntryController[] {
  return createEntryControllers().map(controller =>
    names.includes(controller.name) ? replace(controller) : controller,
  );
}

/** A lifecycle controller that opens the stream of every dispatch twice. */
export function createDoubleDispatching(): readonly EntryController[] {
  return createWithEffects('lifecycle', effect =>
    effect.kind === 'openStream' ? [effect, effect] : [effect],
  );
}

/** A lifecycle controller that skips one event when it resumes a stream. */
export function createEventSkipping(): readonly EntryController[] {
  return createWithEffects('lifecycle', effect =>
    effect.kind === 'resumeStream'
      ? [{...effect, fromEvent: effect.fromEvent + 1}]
      : [effect],
  );
}

/** A lifecycle controller that reports every refused request as not run. */
export function createFalseNotRun(): readonly EntryController[] {
  return createWithEffects('lifecycle', effect =>
    effect.kind === 'refuseCaller'
      ? [{...effect, refusal: {...effect.refusal, notRun: true} as never}]
      : [effect],
  );
}

/** A lifecycle controller that treats every claim as granted. */
export function createClaimIgnoring(): readonly EntryController[] {
  return createWithObservations(['lifecycle'], observation =>
    observation.kind === 'controlMessage' &&
    observation.message.kind === 'claimReply'
      ? {
          ...observation,
          message: {...observation.message, answer: {kind: 'granted'}},
        }
      : observation,
  );
}

/** A registry and withdrawals that ignore that an endpoint is leaving. */
export function createLeavingIgnoring(): readonly EntryController[] {
  return createWithObservations(['endpoints', 'withdrawals'], observation => {
    if (observation.kind === 'endpointContact') {
      const {announcement} = observation;
      return {...observation, announcement: {...announcement, leaving: false}};
    }
    if (
      observation.kind === 'entryMessage' &&
      observation.message.kind === 'endpointAnnounced'
    ) {
      const {message} = observation;
      const announcement = {...message.announcement, leaving: false};
      return {...observation, message: {...message, announcement}};
    }
    return observation;
  });
}

/** A service controller that exits as soon as a shutdown is requested. */
export function createImmediateExit(): readonly EntryController[] {
  return replaceController('service', controller => ({
    ...controller,
    run: (view, now) =>
      view.observation?.kind === 'shutdownRequested'
        ? [{kind: 'effect', effect: {kind: 'exit'}}]
        : controller.run(view, now),
  }));
}

/** A configuration client that drops every change after the first update. */
export function createChangeDropping(): readonly EntryController[] {
  return createWithObservations(['control'], observation => {
    if (
      observation.kind !== 'controlMessage' ||
      observation.message.kind !== 'configurationUpdate'
    ) {
      return observation;
    }
    const {message} = observation;
    const isDelta = message.fromVersion > 0;
    return {
      ...observation,
      message: {...message, changes: isDelta ? [] : message.changes},
    };
  });
}

/** A lifecycle controller that sheds the highest tier and keeps the lowest. */
export function createHighestTierShedding(): readonly EntryController[] {
  return replaceController('lifecycle', controller => ({
    ...controller,
    run: (view, now) => {
      const {observation} = view;
      if (
        observation?.kind !== 'requestReceived' ||
        observation.attributes.tier !== 'gold'
      ) {
        return controller.run(view, now);
      }
      const request = observation.attributes.id;
      const refusal = {
        request,
        reason: {kind: 'shed'},
        notRun: true,
        retryAfterMs: null,
      } as never;
      return [{kind: 'effect', effect: {kind: 'refuseCaller', refusal}}];
    },
  }));
}

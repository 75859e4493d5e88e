import type {
  EntryController,
  EntryObservation,
  EntryOrder,
} from '@gentianshunt/entryModel';
import {createEntryControllers} from '@gentianshunt/entryNode';

/** Creates the usual controllers, one of them with altered input. */
export function createWithInput(
  name: string,
  alter: (observation: EntryObservation) => EntryObservation,
): readonly EntryController[] {
  return replaceController(name, controller => ({
    ...controller,
    run: (view, now) => {
      const observation =
        view.observation === undefined ? undefined : alter(view.observation);
      return controller.run({...view, observation}, now);
    },
  }));
}

/** Creates the usual controllers, one of them with altered orders. */
export function createWithOrders(
  name: string,
  alter: (order: EntryOrder) => readonly EntryOrder[],
): readonly EntryController[] {
  return replaceController(name, controller => ({
    ...controller,
    run: (view, now) => {
      const writes = controller.run(view, now);
      return writes.flatMap<(typeof writes)[number]>(write =>
        write.kind === 'order'
          ? alter(write.order).map(order => ({kind: 'order', order}))
          : [write],
      );
    },
  }));
}

function replaceController(
  name: string,
  replace: (controller: EntryController) => EntryController,
): readonly EntryController[] {
  return createEntryControllers().map(controller =>
    controller.name === name ? replace(controller) : controller,
  );
}

/** A lifecycle that gives its orders to open a stream twice. */
export function createTwiceDispatching(): readonly EntryController[] {
  return createWithOrders('lifecycle', order =>
    order.kind === 'openStream' ? [order, order] : [order],
  );
}

/** A lifecycle that resumes one event too late. */
export function createSkipping(): readonly EntryController[] {
  return createWithOrders('lifecycle', order =>
    order.kind === 'resumeStream'
      ? [{...order, fromEvent: order.fromEvent + 1}]
      : [order],
  );
}

/** A lifecycle that calls every refused request not run. */
export function createDenying(): readonly EntryController[] {
  return createWithOrders('lifecycle', order =>
    order.kind === 'refuseCaller'
      ? [{...order, refusal: {...order.refusal, notRun: true} as never}]
      : [order],
  );
}

/** A lifecycle that takes every claim for granted. */
export function createClaimless(): readonly EntryController[] {
  return createWithInput('lifecycle', observation =>
    observation.kind === 'controlMessage' &&
    observation.message.kind === 'claimReply'
      ? {
          ...observation,
          message: {...observation.message, answer: {kind: 'granted'}},
        }
      : observation,
  );
}

/** An endpoint registry that does not hear that an endpoint leaves. */
export function createDeafToLeaving(): readonly EntryController[] {
  return createWithInput('endpoints', observation => {
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

/** A service that exits at the first request to shut down. */
export function createHasty(): readonly EntryController[] {
  return replaceController('service', controller => ({
    ...controller,
    run: (view, now) =>
      view.observation?.kind === 'shutdownRequested'
        ? [{kind: 'order', order: {kind: 'exit'}}]
        : controller.run(view, now),
  }));
}

/** A configuration client that drops every change of a tier. */
export function createForgetful(): readonly EntryController[] {
  return createWithInput('control', observation => {
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

/** A lifecycle that sheds the highest tier and keeps the lowest. */
export function createUpsideDown(): readonly EntryController[] {
  return replaceController('lifecycle', controller => ({
    ...controller,
    run: (view, now) => {
      const {observation} = view;
      if (
        observation?.kind !== 'requestReceived' ||
        observation.facts.tier !== 'gold'
      ) {
        return controller.run(view, now);
      }
      const request = observation.facts.id;
      const refusal = {
        request,
        reason: {kind: 'shed'},
        notRun: true,
        retryAfterMs: null,
      } as never;
      return [{kind: 'order', order: {kind: 'refuseCaller', refusal}}];
    },
  }));
}

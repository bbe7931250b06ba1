import { findShard } from './shards.js';

const STANDBY_PREFIX = 'standby.';

/**
 * Name of a group to be formed. It holds the model, so that a planner that takes over knows what an instance is joining
 * for: instances announce a model only once its weights are loaded. It also holds the shard: owners of different shards may
 * have the same term, and so use the same epochs.
 */
export function createGroupName(model: string, epoch: number, fabricDomain: string): string {
  return `${model}.${findShard(fabricDomain)}-${epoch}`;
}

/** Name of a group of one instance that is never opened and in which it loads the weights of the model. */
export function createStandbyName(model: string, epoch: number, fabricDomain: string): string {
  return `${STANDBY_PREFIX}${createGroupName(model, epoch, fabricDomain)}`;
}

/** Whether the group only prepares one instance. */
export function isStandbyName(group: string): boolean {
  return group.startsWith(STANDBY_PREFIX);
}

/** Returns the model that the group is formed for; undefined for a group that another system has named. */
export function findModelOfGroup(group: string): string | undefined {
  return /^(?:standby\.)?(.+)\.(?:\d+-)?\d+$/.exec(group)?.[1];
}

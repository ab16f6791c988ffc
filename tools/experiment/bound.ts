/**
 * The most tokens a second that the engines can make, from their stated capacities. A request
 * holds a slot of its first stage for the whole cycle of a token over all stages; a later stage
 * is held only for its own step.
 */
import type { EngineGroup, Experiment } from './specification.js';

/** Steps a second that a group can make when all its slots are busy. */
function computeStepsPerSecond(group: EngineGroup): number {
  return (group.count * group.slots * 1000) / group.stepMilliseconds;
}

/**
 * Computes the bound for pipelines of one or two stages: first stages, fastest first, are given
 * the fastest later stages that have capacity left.
 *
 * @param experiment - The engines.
 * @returns Tokens a second.
 */
export function computeThroughputBound(experiment: Experiment): number {
  const bySpeed = [...experiment.engines].sort(
    (group, otherGroup) => group.stepMilliseconds - otherGroup.stepMilliseconds,
  );
  const firstStageGroups = bySpeed.filter((group) => group.from === 0);
  const laterStages = bySpeed
    .filter((group) => group.from > 0)
    .map((group) => ({
      stepMilliseconds: group.stepMilliseconds,
      remainingStepsPerSecond: computeStepsPerSecond(group),
    }));
  return firstStageGroups.reduce((totalTokensPerSecond, group) => {
    if (group.to === group.totalLayers) return totalTokensPerSecond + computeStepsPerSecond(group);
    let freeSlots = group.count * group.slots;
    let groupTokensPerSecond = 0;
    laterStages.forEach((stage) => {
      const cycleMilliseconds = group.stepMilliseconds + stage.stepMilliseconds;
      const tokensPerSecond = Math.min(
        stage.remainingStepsPerSecond,
        (freeSlots * 1000) / cycleMilliseconds,
      );
      groupTokensPerSecond += tokensPerSecond;
      freeSlots -= (tokensPerSecond * cycleMilliseconds) / 1000;
      stage.remainingStepsPerSecond -= tokensPerSecond;
    });
    return totalTokensPerSecond + groupTokensPerSecond;
  }, 0);
}

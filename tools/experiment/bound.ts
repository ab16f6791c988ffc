/**
 * Computes the upper bound of an experiment's throughput from the configured capacity of its
 * engines. For each token, a request occupies a slot of its first stage until the token has
 * passed through all stages, but a slot of a later stage only during that stage's own step.
 */
import type { EngineGroup, Experiment } from './specification.js';

/** Returns the steps per second that a group of engines performs when all its slots are busy. */
function computeStepsPerSecond(group: EngineGroup): number {
  return (group.count * group.slots * 1000) / group.stepMilliseconds;
}

/**
 * Computes the throughput bound for chains of one or two stages. The engine groups that hold the
 * first layers are assigned, fastest first, to the fastest second stages with remaining capacity.
 *
 * @param experiment - The experiment whose engines are counted.
 * @returns The bound in tokens per second.
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

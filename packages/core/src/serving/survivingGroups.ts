/** Share of the instances assumed to be lost before a replacement has loaded its weights. */
const LOSS_SHARE = 0.1;

const cache = new Map<string, number>();

/**
 * Returns the expected number of whole groups among instances with the weights of one model, after the losses until
 * replacements are ready. Instances beyond whole groups replace lost members, so the groups of a large model need them
 * more than those of a small one.
 */
export function countSurvivingGroups(instances: number, groupSize: number): number {
  const key = `${instances}/${groupSize}`;
  const known = cache.get(key);
  if (known !== undefined) return known;
  let expected = 0;
  let probability = (1 - LOSS_SHARE) ** instances;
  for (let lost = 0; lost <= instances; lost++) {
    expected += probability * Math.floor((instances - lost) / groupSize);
    probability *= (((instances - lost) / (lost + 1)) * LOSS_SHARE) / (1 - LOSS_SHARE);
  }
  cache.set(key, expected);
  return expected;
}

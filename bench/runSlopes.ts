import { measureSlopes } from './slopes.js';

for (const slope of measureSlopes()) {
  const points = slope.points.map(({ size, value }) => `${size}: ${value.toFixed(2)}`).join(', ');
  process.stdout.write(
    `${slope.name} [${slope.unit}] by ${slope.sizeUnit}: ${points}; ${slope.intercept.toFixed(3)} + ${slope.perUnit.toFixed(5)} x, spread ${(slope.maxRelativeResidual * 100).toFixed(0)} %\n`,
  );
}

import t from 'tap';
import { EXPLORATIONS } from './catalogue.js';
import { explore } from './explore.js';

for (const { name, mutant, model } of EXPLORATIONS.filter(({ length }) => length === 'short')) {
  void t.test(name, (t) => {
    const { counterexample } = explore(model());
    t.equal(
      counterexample?.invariant,
      mutant?.breaks,
      counterexample?.trace.join('\n') ?? 'no counterexample',
    );
    t.end();
  });
}

// An ESLint rule: names of functions begin with a verb from docs/GLOSSARY.md.
import {readFileSync} from 'node:fs';

const GLOSSARY = 'docs/GLOSSARY.md';
const VERB = /`([a-z]+)`/g;

/** Reads the verbs from the glossary's table of verbs. */
export function readVerbs() {
  const text = readFileSync(GLOSSARY, 'utf8');
  const table = text.slice(text.indexOf('## Verbs'));
  return new Set(Array.from(table.matchAll(VERB), match => match[1]));
}

const verbs = readVerbs();

/** Reports function declarations whose names begin with another word. */
export const verbRule = {
  meta: {type: 'suggestion', schema: []},
  create: context => ({
    FunctionDeclaration: node => {
      const name = node.id?.name ?? '';
      const verb = /^[a-z]+/.exec(name)?.[0] ?? '';
      if (!verbs.has(verb)) {
        const message = `'${name}' must begin with a verb listed in ${GLOSSARY}`;
        context.report({node: node.id ?? node, message});
      }
    },
  }),
};

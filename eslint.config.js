import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import { defineConfig } from 'eslint/config';
import typescript from 'typescript-eslint';

/** Deviations from the Airbnb guide, each with its reason. */
const deviations = {
  // Node.js resolves ES modules by their full file name.
  'import-x/extensions': 'off',
  // A module that gains a second export would otherwise change every importer.
  'import-x/prefer-default-export': 'off',
  // The house style wants one task per connection and peer, written straight down.
  'no-await-in-loop': 'off',
  'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
  // A promise that is left to run on is marked as such.
  'no-void': ['error', { allowAsStatement: true }],
  // Counters of shared objects, such as requests in flight, are changed in place.
  'no-param-reassign': ['error', { props: false }],
  // Function declarations may stand below their first use, as the reader goes from top to bottom.
  '@typescript-eslint/no-use-before-define': ['error', { functions: false, variables: false }],
  // A schema and the type inferred from it share one name.
  '@typescript-eslint/no-redeclare': 'off',
};

export default defineConfig([
  { ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**', 'reports/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  { rules: deviations },
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    plugins: { '@typescript-eslint': typescript.plugin },
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
    },
  },
  {
    // node:test waits for its tests by itself.
    files: ['**/*.test.ts'],
    rules: {
      '@typescript-eslint/no-floating-promises': [
        'error',
        { allowForKnownSafeCalls: [{ from: 'package', name: ['test'], package: 'node:test' }] },
      ],
    },
  },
  {
    // Programs read their files and end themselves.
    files: [
      '**/main.ts',
      'tools/**',
      'tests/**',
      'src/settings/**',
      'src/command-line/**',
      'platform/launch.ts',
      'platform/settings.ts',
    ],
    rules: {
      'n/no-sync': 'off',
      'n/no-process-exit': 'off',
      'n/hashbang': 'off',
      'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }],
    },
  },
  {
    // Small commands of one family share a file.
    files: ['src/command-line/**'],
    rules: { 'max-classes-per-file': 'off' },
  },
  {
    // The stand-ins' token function mixes bits.
    files: ['tools/stand-ins/token-function.ts'],
    rules: { 'no-bitwise': 'off' },
  },
]);

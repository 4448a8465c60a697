import tseslint from 'typescript-eslint';

const CLOCKS = [
  { object: 'Date', property: 'now', message: 'Use the injected runtime.' },
  { object: 'Math', property: 'random', message: 'Use the injected random source.' },
  { object: 'performance', property: 'now', message: 'Use the injected runtime.' },
];
const TIMERS = ['setTimeout', 'setInterval', 'setImmediate'].map((name) => ({
  name,
  message: 'Use the injected runtime.',
}));

export default tseslint.config(
  { ignores: ['dist', 'node_modules'] },
  ...tseslint.configs.recommended,
  {
    rules: {
      '@typescript-eslint/no-unused-vars': [
        'error',
        { argsIgnorePattern: '^_', varsIgnorePattern: '^_', ignoreRestSiblings: true },
      ],
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }],
      'no-restricted-properties': ['error', ...CLOCKS],
      'no-restricted-globals': ['error', ...TIMERS],
      eqeqeq: 'error',
    },
  },
  {
    // The adapters to the real world, and the bench that drives it.
    files: [
      'src/runtime/real-runtime.ts',
      'src/bench/**',
      'src/commands/**',
      'src/platform/http-*.ts',
      'src/emulator/relay-runner.ts',
      'src/http-client/reset-aware-socket.ts',
      'src/emulator/endless-answer.ts',
      'src/emulator/unframed-answer.ts',
      'platform/stand-in/**',
      'soak/**',
      'features/**',
    ],
    rules: { 'no-restricted-properties': 'off', 'no-restricted-globals': 'off' },
  },
  {
    // The product knows nothing of the platform; the platform's folder imports the product.
    files: ['src/**'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: [
                '**/platform/main*',
                '**/../platform/stand-in/**',
                '../../platform/**',
                '**/soak/**',
              ],
            },
          ],
        },
      ],
      'no-restricted-syntax': [
        'error',
        {
          selector:
            'Literal[value=/^(request-id|response-stamp|expect-instance|not-executed|previous-turn|token-budget|prompt-prefix|program-deadline-ms)$|kv-txn|kv-watch|kv-range|PathPrefix/i]',
          message: "The platform's words stand in platform/ only.",
        },
      ],
    },
  },
  {
    files: ['features/**'],
    rules: { 'max-lines-per-function': 'off', '@typescript-eslint/no-invalid-void-type': 'off' },
  },
);

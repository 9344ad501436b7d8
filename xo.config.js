/** Folders of the workspace that a folder may import from. */
const allowedImports = {
	core: [],
	platform: ['core'],
	peer: ['core'],
	steering: ['core'],
	config: ['core', 'platform', 'peer'],
	calls: ['core', 'steering', 'platform', 'peer'],
	cli: ['core', 'config', 'platform', 'peer', 'steering', 'calls', 'testing'],
};

const folders = ['core', 'platform', 'peer', 'steering', 'config', 'calls', 'daemons', 'cli', 'testing'];

/** Parts of the HTTP library that connect by sockets of their own, which report some resets as the end of a response. */
const connectingImports = ['Agent', 'Client', 'Pool', 'buildConnector', 'fetch', 'pipeline', 'request', 'stream'];

const directionRules = Object.entries(allowedImports).map(([folder, allowed]) => ({
	files: [`${folder}/*/src/**/*.ts`],
	rules: {
		'no-restricted-imports': ['error', {
			patterns: folders
				.filter(other => other !== folder && !allowed.includes(other))
				.map(other => ({group: [`@pomelopick/${other}.*`], message: `${folder}/ may not import ${other}/.`})),
		}],
	},
}));

const clocksAndRandomness = ['Date', 'performance', 'setTimeout', 'setInterval'];

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/lib/**', '**/lib-test/**', '**/generated/**', 'results/**']},
	{
		rules: {
			// Outcomes travel as purify-ts values, whose constructors are capitalised functions.
			'new-cap': ['error', {capIsNewExceptions: ['Left', 'Right', 'Just', 'Nothing'], capIsNewExceptionPattern: String.raw`^(Command|Option)\.`}],
			'import-x/consistent-type-specifier-style': ['error', 'prefer-top-level'],
			'import-x/no-duplicates': 'off',
			// The workspace's packages count as external whether or not they have been compiled.
			'import-x/order': ['error', {
				groups: ['builtin', 'external', 'parent', 'sibling', 'index'],
				pathGroups: [{pattern: '@pomelopick/**', group: 'external'}],
				pathGroupsExcludedImportTypes: [],
				'newlines-between': 'never',
				warnOnUnassignedImports: true,
			}],
			// The workspace resolves to compiled files, which linting does not need.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
			'n/prefer-global/process': 'off',
			'no-await-in-loop': 'off',
			'unicorn/no-process-exit': 'off',
			'n/no-unsupported-features/node-builtins': 'off',
		},
	},
	{
		// Kept off the JavaScript files: rules that need types would need them in the type checker's project too.
		files: ['**/*.ts'],
		rules: {
			// Options and messages are interfaces declared beside their function.
			'@typescript-eslint/consistent-type-definitions': ['error', 'interface'],
			// Type imports are kept apart from imports of values.
			'@typescript-eslint/consistent-type-imports': ['error', {fixStyle: 'separate-type-imports'}],
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			// Header names and the platform's JSON fields keep their published spelling.
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	...directionRules,
	{
		files: folders.filter(folder => folder !== 'testing').map(folder => `${folder}/*/src/**/*.ts`),
		rules: {
			'@typescript-eslint/no-restricted-imports': ['error', {
				paths: [{
					name: 'undici', importNames: connectingImports, allowTypeImports: true, message: 'Use the clients of @pomelopick/core.http, which report resets.',
				}],
			}],
		},
	},
	{
		// These create connections with the connector of core/http.
		files: ['core/http/src/*.ts', 'calls/connections/src/*.ts'],
		rules: {'@typescript-eslint/no-restricted-imports': 'off'},
	},
	{
		// Address arithmetic and hashing.
		files: ['core/rendezvous/src/mixed-weight.ts', 'steering/lookup/src/block-table.ts', 'config/schema/src/prefix.ts'],
		rules: {'no-bitwise': 'off'},
	},
	{
		// The command that runs a daemon in this process is the one place where the command line needs daemons/.
		files: ['cli/pomelopick/src/commands/entry.ts'],
		rules: {'no-restricted-imports': 'off'},
	},
	{
		files: ['steering/*/src/**/*.ts'],
		rules: {'no-restricted-globals': ['error', ...clocksAndRandomness]},
	},
	{
		files: ['*/*/test/**/*.ts'],
		rules: {
			// The test runner's functions return promises that it tracks itself.
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
];

export default config;

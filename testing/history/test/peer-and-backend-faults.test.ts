import {describeFaultCases} from './fault-cases.js';

describeFaultCases({
	title: 'keyed calls while peers and backend servers fail',
	seed: 63_000,
	cases: [
		{name: 'an owner cut off its peers', steps: [{faults: ['peers-cut'], durationMs: 1000}]},
		{name: 'silence towards an owner', steps: [{faults: ['peers-silent-to-server'], durationMs: 1200}]},
		{name: 'silence from an owner', steps: [{faults: ['peers-silent-to-client'], durationMs: 1200}]},
		{name: 'a backend server killed twice', steps: [{faults: ['backend-killed'], durationMs: 400}, {faults: ['backend-killed'], durationMs: 400}]},
		{name: 'a backend server drained', steps: [{faults: ['backend-drained'], durationMs: 600}]},
		{name: 'late answers', steps: [{faults: ['backend-late'], durationMs: 1500}]},
		{name: 'truncated answers', steps: [{faults: ['backend-truncates'], durationMs: 700}]},
		{name: 'a backend server killed while an owner is silent', steps: [{faults: ['backend-killed', 'peers-silent-to-client'], durationMs: 900}]},
	],
});

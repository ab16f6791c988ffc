#!/usr/bin/env node
/** Entry point of the command line. */
import { execute } from '@oclif/core';

await execute({ dir: import.meta.url });

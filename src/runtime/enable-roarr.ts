/** Enables `roarr`, which reads this variable when it is loaded; levels are filtered in `real-runtime.ts`. */
process.env['ROARR_LOG'] = 'true';

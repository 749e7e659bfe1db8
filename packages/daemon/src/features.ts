/**
 * Imports the `app.ts` of every feature. Each of these modules registers its
 * feature when it is loaded; the order of the imports is the order in which a
 * kernel installs the features.
 */
import './platform/app.js';
import './membership/app.js';
import './config/app.js';
import './targets/app.js';
import './health/app.js';
import './admission/app.js';
import './quarantine/app.js';
import './generations/app.js';
import './operations/app.js';
import './plans/app.js';
import './roles/app.js';
import './operator/app.js';
import './server/app.js';

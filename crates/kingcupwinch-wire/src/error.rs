use quick_error::quick_error;

quick_error! {
    /// Errors of decoding a message.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// The bytes are not a protocol buffer of the expected type.
        Malformed(source: prost::DecodeError) {
            from()
            source(source)
            display("malformed protocol buffer: {source}")
        }
        /// The message exceeds its size limit; both values are in bytes.
        TooLarge(size: usize, limit: usize) {
            display("message of {size} bytes exceeds the limit of {limit} bytes")
        }
        /// A required field is missing.
        Missing(field: &'static str) {
            display("field {field} is missing")
        }
        /// A field's value is outside its range.
        OutOfRange(field: &'static str) {
            display("field {field} is out of range")
        }
        /// An identifier is not the 16 bytes of a UUID.
        BadId(field: &'static str) {
            display("field {field} is not a UUID")
        }
    }
}
